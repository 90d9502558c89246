/** Counts the connections to one endpoint by the workspaces that they are for. */
export type WorkspaceUsage = {
	/** Connections that are being opened. */
	readonly opening: number;
	/** The workspaces for which they are. */
	readonly openingFor: ReadonlyArray<string | undefined>;
	noteOpening(workspace: string | undefined): void;
	noteOpeningEnded(workspace: string | undefined): void;
	noteLent(workspace: string | undefined): void;
	noteReturned(workspace: string | undefined): void;
	/** Connections that the workspace uses, those that are being opened for it included. */
	count(workspace: string | undefined): number;
};

/** Creates the counts of an endpoint without connections. */
export function createWorkspaceUsage(): WorkspaceUsage {
	const openingFor: Array<string | undefined> = [];
	const lent = new Map<string | undefined, number>();

	const change = (workspace: string | undefined, by: number) => {
		const count = (lent.get(workspace) ?? 0) + by;
		if (count > 0) {
			lent.set(workspace, count);
		} else {
			lent.delete(workspace);
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
		noteLent(workspace) {
			change(workspace, 1);
		},
		noteReturned(workspace) {
			change(workspace, -1);
		},
		count: workspace => (lent.get(workspace) ?? 0) + openingFor.filter(other => other === workspace).length,
	};
}
