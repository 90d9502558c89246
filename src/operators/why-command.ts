import type {Explanations} from '../explanations/explanations.js';
import {explainRefusal} from '../explanations/explain-refusal.js';
import {RecordSource, type ExplanationSearch, type ExplanationSearchResult} from '../explanations/explanation-search.js';
import type {RefusalRecord} from '../explanations/refusal-record.js';
import type {WhyCommand} from '../language/command.js';
import {answerOk, answerRefused} from './answers.js';
import type {CommandAnswer} from './operator-commands.js';

const SOURCE_HEADINGS: Readonly<Record<RecordSource, string>> = {
	[RecordSource.Memory]: 'From this host\'s memory:',
	[RecordSource.Peer]: 'From the memory of another host:',
	[RecordSource.Platform]: 'From the records in the platform:',
	[RecordSource.None]: '',
};

/** Runs `why`: explains a refusal or a delay by the request's id or by its ticket. */
export async function runWhy({subject}: WhyCommand, explanations: Explanations & ExplanationSearch): Promise<CommandAnswer> {
	if ('requestId' in subject) {
		return explainRequest(subject.requestId, await explanations.search(subject.requestId));
	}

	const record = explanations.openTicket(subject.ticket);
	return record
		? answerOk(['From the ticket:', ...explainRefusal(record)].join('\n'), {source: 'ticket', records: [record]})
		: answerRefused('Refused: this is no ticket of this system, or its key has been taken out of the settings. Nothing can be told from it.');
}

function explainRequest(requestId: string, search: ExplanationSearchResult): CommandAnswer {
	const text = search.records.length > 0 ? explainRecords(search) : explainNothing(requestId, search);
	return answerOk(text, search);
}

function explainRecords({source, records}: ExplanationSearchResult): string {
	const texts = records.map((record, index) => explainRecord(record, records.length > 1 ? index + 1 : undefined));
	return [SOURCE_HEADINGS[source], ...texts].join('\n');
}

function explainRecord(record: RefusalRecord, number: number | undefined): string {
	const sentences = explainRefusal(record).join('\n');
	return number === undefined ? sentences : `(${number})\n${sentences}`;
}

/** Explains a search without a result, so that a missing record is not mistaken for a request without a refusal. */
function explainNothing(requestId: string, search: ExplanationSearchResult): string {
	const {hostsAsked, hostsSilent, platformAnswered, notKept} = search;
	const sentences = [
		`No record of request ${requestId} was found.`,
		hostsSilent > 0
			? `${hostsAsked} hosts were asked, and ${hostsSilent} gave no answer.`
			: `${hostsAsked} ${hostsAsked === 1 ? 'host was' : 'hosts were'} asked, and all answered.`,
		platformAnswered ? 'The platform\'s records were read.' : 'The platform gave no answer: ask again once it does.',
	];
	if (notKept > 0) {
		sentences.push(`${notKept} refusals around that time were counted without a record, and this may be one of them.`);
	}

	sentences.push('A request that was served in time leaves no record. The ticket in the caller\'s refusal explains it by itself: why TICKET.');
	return sentences.join('\n');
}
