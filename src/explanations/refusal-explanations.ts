import {RefusalCode} from '../refusals/refusal.js';

/** The explanation of a refusal code, for on-call operators. */
export type RefusalExplanation = {
	/** The rule that decided, as the end of the sentence "The rule that decided (CODE): …". */
	readonly rule: string;
	/** Why the request did not run if its outcome is "not run", as a sentence. */
	readonly notRun: string;
	/** What the caller or the operator can do, as a sentence. */
	readonly advice: string;
};

const NOTHING_SENT = 'Nothing of it was sent to any endpoint.';

/** The explanation of each code. docs/REFUSALS.md has the same texts, and a test compares the two. */
export const refusalExplanations: Readonly<Record<RefusalCode, RefusalExplanation>> = {
	[RefusalCode.Malformed]: {
		rule: 'a request that does not have the form of one is not taken',
		notRun: NOTHING_SENT,
		advice: 'The caller\'s program has to be mended; the reason names the field.',
	},
	[RefusalCode.UnknownGroup]: {
		rule: 'a request for a database group that is not configured is not taken',
		notRun: NOTHING_SENT,
		advice: 'Compare the name with `show groups`; a group created just now is known everywhere within 6 seconds.',
	},
	[RefusalCode.BadToken]: {
		rule: 'a session token that this system did not sign is not believed',
		notRun: NOTHING_SENT,
		advice: 'Send the request again without the token; it is then served from behind a barrier and sees every earlier write.',
	},
	[RefusalCode.AgeOverLimit]: {
		rule: 'a read may not state an older age than its group accepts',
		notRun: NOTHING_SENT,
		advice: 'State a lower age, or raise the limit with `set group GROUP read-age DURATION`.',
	},
	[RefusalCode.KeyExpired]: {
		rule: 'a request id older than the group keeps request keys is not taken, since nobody can tell whether it ran before',
		notRun: 'Nothing of this try was sent to any endpoint; an earlier try under the same id may have run long ago.',
		advice: 'Look up in the data whether the request took effect; where it did not, send it under a new id.',
	},
	[RefusalCode.HostLeaving]: {
		rule: 'a host that is about to stop takes nothing new, and waits only so long for what it has taken',
		notRun: NOTHING_SENT,
		advice: 'Send it again at once, after an unknown outcome under the same request id; the balancer leads to another host.',
	},
	[RefusalCode.HostFault]: {
		rule: 'a host that failed in the middle of a request says so and does not guess',
		notRun: 'It is never said of this code: the request may have run.',
		advice: 'Ask for its outcome under the same request id, and report the host\'s log.',
	},
	[RefusalCode.NoConfiguration]: {
		rule: 'a host that has no configuration yet takes no requests, and one whose configuration may not be the latest calls no group unknown',
		notRun: NOTHING_SENT,
		advice: 'Come back as told; where it lasts, check the platform and `show hosts`.',
	},
	[RefusalCode.NoOwner]: {
		rule: 'a request goes only through a host that looks after its group',
		notRun: 'No host that looks after the group took it.',
		advice: 'Come back as told; where it lasts, check `show hosts`.',
	},
	[RefusalCode.RetryBudget]: {
		rule: 'a failed try is not repeated once too many requests of its group are being repeated, so that retries do not add to an overload',
		notRun: 'Every try of it ended before anything ran.',
		advice: 'Come back as told; the cause is the one of the last try, which the facts name.',
	},
	[RefusalCode.QueueFull]: {
		rule: 'a request that finds every place of its class in an endpoint\'s queue taken is refused at once',
		notRun: NOTHING_SENT,
		advice: 'Come back as told; where it lasts, compare `show endpoints` with the class shares.',
	},
	[RefusalCode.DeadlineTooShort]: {
		rule: 'a request whose predicted wait is longer than its deadline is refused at once',
		notRun: NOTHING_SENT,
		advice: 'Come back as told, or give the request a longer deadline.',
	},
	[RefusalCode.DeadlinePassed]: {
		rule: 'a request whose deadline passed while it waited is given up on',
		notRun: 'It was still waiting, and nothing of it was sent to any endpoint.',
		advice: 'Come back as told, or give the request a longer deadline.',
	},
	[RefusalCode.NoPrimary]: {
		rule: 'nothing is written, or read as the latest, while a group has no primary that a majority confirms',
		notRun: 'No endpoint was asked to run it.',
		advice: 'Come back as told; a change of primary takes seconds. Where it lasts, check `show endpoints` for a majority that answers.',
	},
	[RefusalCode.NoEndpoint]: {
		rule: 'a read is served only by an endpoint that holds what its session must see and is young enough',
		notRun: 'No endpoint ran it.',
		advice: 'Come back as told; check lag and reach in `show endpoints`.',
	},
	[RefusalCode.NoConnection]: {
		rule: 'a request is sent only over a connection, and none was free or could be opened in time',
		notRun: 'No connection was there to send it over.',
		advice: 'Come back as told; check that the endpoint answers and how many connections it grants.',
	},
	[RefusalCode.NotConfirmed]: {
		rule: 'a write is acknowledged only once a majority shows that it holds it under the current term',
		notRun: 'It is never said of this code: the primary took the write, and only the confirmation is missing.',
		advice: 'Ask for its outcome under the same request id; check in `show endpoints` that a majority answers.',
	},
	[RefusalCode.PrimarySuperseded]: {
		rule: 'an endpoint that is no longer the primary of its term runs no writes',
		notRun: 'The endpoint itself answered that it is not the primary of that term and ran nothing.',
		advice: 'Send it again at once; it goes to the new primary.',
	},
	[RefusalCode.FloorNotReached]: {
		rule: 'a read waits only so long for an endpoint to hold the session\'s own last write',
		notRun: 'The endpoint runs a read only once it holds that write, and it did not.',
		advice: 'Come back as told; check lag in `show endpoints`.',
	},
	[RefusalCode.WriteLost]: {
		rule: 'a session whose acknowledged write did not survive a change of primary is told so',
		notRun: 'The endpoint runs a read only where it holds the session\'s last write, and none holds it any more.',
		advice: 'Tell the caller which write is lost and have it entered again; `set group GROUP durability majority` keeps it from happening.',
	},
	[RefusalCode.RequestMismatch]: {
		rule: 'a request id stands for one statement with its values, and is not taken for another',
		notRun: 'The endpoint found the other request under this id and ran nothing.',
		advice: 'The caller\'s program has to give each request an id of its own.',
	},
	[RefusalCode.Resolved]: {
		rule: 'a request whose outcome was asked for and which had not run never runs any more',
		notRun: 'A record under its id, confirmed by a majority, keeps it from ever running.',
		advice: 'Where it is still wanted, send it again under a new request id.',
	},
	[RefusalCode.StatementFailed]: {
		rule: 'a statement that the database rejects is rolled back',
		notRun: 'The endpoint answered that it rolled the statement back.',
		advice: 'The caller\'s program has to be mended; the answer it got repeats the endpoint\'s message.',
	},
	[RefusalCode.EndpointSilent]: {
		rule: 'a request to which the endpoint gave no answer in time is given up on, and its connection is closed',
		notRun: 'A read that goes unanswered has no effect, and its late answer can reach nobody.',
		advice: 'For a write, ask for its outcome under the same request id; check that the endpoint answers in `show endpoints`.',
	},
	[RefusalCode.OwnerSilent]: {
		rule: 'a request to which the host that looks after its group gave no answer in time is given up on',
		notRun: 'It never reached that host, or it was a read, which has no effect.',
		advice: 'For a write, ask for its outcome under the same request id; check the host in `show hosts`.',
	},
	[RefusalCode.TransactionUnknown]: {
		rule: 'a statement runs only within a transaction that its host still holds',
		notRun: 'No transaction of that id is open, so nothing could run in it.',
		advice: 'Begin the transaction anew; ask for the outcome of its id first where a commit had been sent.',
	},
	[RefusalCode.TransactionEnded]: {
		rule: 'nothing runs in a transaction that has ended',
		notRun: 'The transaction had ended before.',
		advice: 'Begin the transaction anew; ask for the outcome of its id to learn how it ended.',
	},
	[RefusalCode.TransactionBusy]: {
		rule: 'a transaction runs one statement at a time',
		notRun: 'Another statement of the transaction was still running, and this one was not sent.',
		advice: 'The caller\'s program has to wait for each answer before the next statement.',
	},
	[RefusalCode.InProgress]: {
		rule: 'a second try of a request waits for the first no longer than its own deadline',
		notRun: 'It is never said of this code: the first try is still running.',
		advice: 'Come back as told under the same request id; the answer is then the first try\'s.',
	},
	[RefusalCode.Delayed]: {
		rule: 'a request that was served, but late, is recorded with what it waited for',
		notRun: 'It is never said of this code: the request ran.',
		advice: 'Nothing has to be done; where it lasts, the facts tell what was waited for.',
	},
};
