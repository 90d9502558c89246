/** Counts the connections to one endpoint by workspace. */
export type WorkspaceUsage = {
	/** Number of connections that are being opened. */
	readonly opening: number;
	/** The workspaces for which connections are being opened, one entry for each connection. */
	readonly openingFor: ReadonlyArray<string | undefined>;
	noteOpening(workspace: string | undefined): void;
	noteOpeningEnded(workspace: string | undefined): void;
	noteAcquired(workspace: string | undefined): void;
	noteReleased(workspace: string | undefined): void;
	/** Returns how many connections the workspace uses, including those that are being opened for it. */
	count(workspace: string | undefined): number;
};

/** Creates the counts for an endpoint that has no connections yet. */
export function createWorkspaceUsage(): WorkspaceUsage {
	const openingFor: Array<string | undefined> = [];
	const acquired = new Map<string | undefined, number>();

	const change = (workspace: string | undefined, by: number) => {
		const count = (acquired.get(workspace) ?? 0) + by;
		if (count > 0) {
			acquired.set(workspace, count);
		} else {
			acquired.delete(workspace);
		}
	};

	return {
		get opening() {
			return openingFor.length;
		},
		openingFor,
		noteOpening(workspace) {
			openingFor.push(workspace);
		},
		noteOpeningEnded(workspace) {
			openingFor.splice(openingFor.indexOf(workspace), 1);
		},
		noteAcquired(workspace) {
			change(workspace, 1);
		},
		noteReleased(workspace) {
			change(workspace, -1);
		},
		count: workspace => (acquired.get(workspace) ?? 0) + openingFor.filter(other => other === workspace).length,
	};
}
