package event

import (
	"log/slog"
	"slices"
)

// Declarations returns every event, in the order of docs/LOGS.md.
func Declarations() []Declaration {
	return slices.Concat(processEvents(), stateEvents(), pathEvents(), requestEvents(), streamEvents())
}

func info(n Name, meaning string, keys ...string) Declaration {
	return Declaration{Name: n, Level: slog.LevelInfo, Meaning: meaning, Keys: keys}
}

func warn(n Name, meaning string, keys ...string) Declaration {
	return Declaration{Name: n, Level: slog.LevelWarn, Meaning: meaning, Keys: keys}
}

func failure(n Name, meaning string, keys ...string) Declaration {
	return Declaration{Name: n, Level: slog.LevelError, Meaning: meaning, Keys: keys}
}

func processEvents() []Declaration {
	return []Declaration{
		info(Start, "the process has read its settings and begins to listen",
			KeyVersion, KeyRole, KeyDomain, KeyAddress),
		info(Ready, "the box takes requests: it has a configuration and a view of the servers",
			KeyConfigVersion, KeyViewRevision, KeyEra, KeyElapsed),
		warn(NotReady, "the box asks the balancer to leave it out",
			KeyReason, KeyConfigVersion, KeyConfigAge),
		info(StopBegins, "a stop was asked for; running requests go on",
			KeyCause, KeyOpen),
		info(StopEnds, "the process ends; open counts what was still running",
			KeyElapsed, KeyOpen),
		info(SettingsReloaded, "the settings file changed and is in force",
			KeyReason),
		warn(SettingsRefused, "the changed settings file cannot be used; the settings in force stay",
			KeyCause),
		warn(Suspended, "the machine was suspended, as its boot clock shows: what the box knew before is older by that",
			KeyAway),
		info(HeldUp, "the process was not run for away_ms; requests wait for a moment, until what arrived meanwhile is read",
			KeyAway),
		failure(WorkPanicked, "a defect of the program ended the work for one request, server or peer; the process goes on, and the request counts as perhaps run",
			KeyWork, KeyCause, KeyStack, KeyRequest, KeyServer, KeyPeer, KeyRoute, KeyAccount, KeyConfigVersion, KeyElapsed),
		warn(LinesDropped, "lines are missing since the last such line: the reader was slow, or an event came more often than its budget",
			KeyQueueFull, KeyOverBudget, KeyByEvent),
	}
}

func stateEvents() []Declaration { return slices.Concat(dependencyEvents(), beliefEvents()) }

// dependencyEvents are of the store and of other boxes.
func dependencyEvents() []Declaration {
	return []Declaration{
		warn(StoreLost, "the object API does not answer; the box serves with what it knows",
			KeyCause, KeyAway, KeyConfigVersion, KeyViewRevision, KeyViewAge),
		info(StoreRegained, "the object API answers again",
			KeyAway, KeyConfigVersion, KeyViewRevision, KeyViewAge),
		warn(StoreReturned, "the store came back from an older copy, and this box has taken its servers; kept are those that the copy lacks and that stay in use for 1.8 s, withheld those that had gone and that the copy still has; 8 of each at most",
			KeyEra, KeyEraBefore, KeyRevision, KeyRevisionBefore, KeyKeptServers, KeyWithheld),
		warn(StoreEraRefused, "an answer of the store states no era, one that cannot be read, or an earlier one than before; once for each of these",
			KeyCause, KeyEra),
		warn(PeerLost, "a peer's heartbeats stopped",
			KeyPeer, KeyAway, KeyLive),
		info(PeerRegained, "a peer's heartbeats came back, or it is new",
			KeyPeer, KeyAway, KeyReason, KeyLive),
		info(PeersChanged, "more peers came or were lost within a second than get lines of their own; how many more",
			KeyHeard, KeyLost, KeyLive),
		warn(PeerBehind, "a peer's heartbeats state a view of the servers that lacks a change which this box has known for behind_ms, longer than the time within which all must know it; revision is the peer's",
			KeyPeer, KeyBehind, KeyRevision, KeyEra),
		info(PeerCaughtUp, "that peer has the change now, behind_ms after this box",
			KeyPeer, KeyBehind, KeyRevision, KeyEra),
		info(WatchTaken, "this box watches the object API, for its failure domain or because nobody is known to",
			KeyReason, KeyLive),
		info(WatchGivenUp, "another box watches instead",
			KeyReason, KeyLive),
	}
}

// beliefEvents are of the configuration and of the backend servers.
func beliefEvents() []Declaration {
	return []Declaration{
		info(ConfigInForce, "a configuration version is in force on this box",
			KeyVersion, KeySource, KeyConfigAge),
		warn(ConfigRefused, "a configuration version cannot be used; the one in force stays",
			KeyVersion, KeySource, KeyCause),
		info(CordonsInForce, "which failure domains get no more work has changed; none if the list is empty",
			KeyRevision, KeyEra, KeySource, KeyDomains),
		info(ServersView, "what the box believes of the backend servers changed; added, leaving and gone name at most 8 each, the others are counts",
			KeyRevision, KeyEra, KeySource, KeyViewAge, KeyAdded, KeyLeaving, KeyGone, KeyDraining, KeyServers),
		warn(EntryRefused, "an entry of the object API names no backend server to use, as something in it is missing or not known; once for each change of the entry",
			KeyServer, KeyRevision, KeyCause),
		warn(ServerEjected, "a server gets no new requests for a time, for failures of its own",
			KeyServer, KeyCause, KeyFailures, KeyAway),
		info(ServerReadmitted, "an ejected server gets requests again",
			KeyServer, KeyAway, KeyCause),
		warn(ServerLimited, "a server in need names how many requests a second it takes from all boxes together, or another such limit than before; source is how that is known or who told",
			KeyServer, KeyPerSecond, KeySource),
		info(ServerUnlimited, "a server names no such limit any more, after the time away_ms",
			KeyServer, KeyAway, KeyReason),
		info(ServerLeaving, "a server says in its answers that it is about to end; source is how that is known or who told",
			KeyServer, KeySource, KeyAge),
		info(ServerLeft, "this box has learned that a server leaves: state is what, source from whom, unconfirmed_ms how old the state was by which the box decided until then",
			KeyServer, KeyState, KeySource, KeyUnconfirmed),
		warn(ServerLeftLate, "the same, when that state was older than half of the time within which a leaving server must get no more requests",
			KeyServer, KeyState, KeySource, KeyUnconfirmed),
		warn(ServerBack, "a server that had left, away_ms before, gets new work again: state is what was known of it, source who told of its return",
			KeyServer, KeyAway, KeyState, KeySource),
		warn(ServerHeldOff, "a server turned a request away and wants nothing from this box for a time",
			KeyServer, KeyRetryAfter),
		info(ServerResumed, "a server that wanted nothing from this box has answered a request since, or is gone, after the time away_ms",
			KeyServer, KeyAway, KeyReason),
		warn(ConditionRefused, "a word of a server on itself in an answer cannot be read, and nothing follows from it; once for each word and start of a server",
			KeyServer, KeyCondition, KeyCause),
		info(EngineDeparts, "an engine that was asked, as the view is old, says that it is about to end",
			KeyServer, KeyLeavesIn, KeyViewRevision, KeyViewAge),
		info(EngineStarted, "an engine that was asked, as the view is old, says that it started after what the view tells; from and to name its starts",
			KeyFrom, KeyTo, KeyViewRevision, KeyViewAge),
		info(EngineSilent, "an engine that was asked, as the view is old, gave no answer",
			KeyServer, KeyCause, KeyViewRevision, KeyViewAge),
	}
}

func pathEvents() []Declaration {
	return []Declaration{
		warn(ServerBrittle, "a server says that it falls over when it has to turn away more than so many requests in a second",
			KeyServer, KeyPerSecond),
		info(ServerSturdy, "a server does not say that any more, after the time away_ms",
			KeyServer, KeyAway),
		warn(ServersUnreachable, "dials to so many servers in a row failed, and nothing came from any server between them: the box's own paths appear to be down",
			KeyServers, KeyCause),
		info(ServersReachable, "a server answered on a direct path again, after the time away_ms",
			KeyServer, KeyAway),
		warn(PathLost, "the box's own path to a server is down and a peer reaches the server: requests go through peers",
			KeyServer, KeyPeer, KeyCause),
		info(TunnelOpened, "a peer that does not reach a server has a connection to it through this box",
			KeyPeer, KeyServer),
		info(PathRegained, "the box's own path to a server works again, after the time away_ms",
			KeyServer, KeyAway),
	}
}

func requestEvents() []Declaration {
	return []Declaration{
		warn(RequestRefused, "the box answered by itself; no server has run the request; fingerprint is set if servers ended under it before",
			KeyRequest, KeyFingerprint, KeyRoute, KeyAccount, KeyStatus, KeyReason, KeyNotRun, KeyRetryAfter, KeyCandidates,
			KeyConfigVersion, KeyConfigAge, KeyViewRevision, KeyViewAge, KeyElapsed),
		info(RequestSent, "a server was chosen among candidates and the request goes there; a long generation gets a backup when emptying its engine takes longer than the notice allows",
			KeyRequest, KeyRoute, KeyAccount, KeyServer, KeyAttempt, KeyCause, KeyCandidates, KeyLoad, KeyRank,
			KeyExpectedTokens, KeyExpectedFirst, KeyExpectedPauses, KeyReturned, KeyBackup, KeyEmptying, KeyNotice, KeyDeadline, KeyConfigVersion, KeyViewRevision, KeyViewAge, KeyElapsed),
		info(RequestByPeer, "the server was reached through a peer, which writes tunnel-opened when the connection is opened",
			KeyRequest, KeyServer, KeyPeer),
		info(EnginesCrowded, "no engine is expected to begin the generation in time, so that its caller is told to come back; the engine is the best one",
			KeyRequest, KeyServer, KeyCandidates, KeyLoad, KeyPendingPrefill, KeyExpectedFirst, KeyWithin, KeyReturned, KeyOverShare, KeyViewRevision, KeyViewAge, KeyElapsed),
		warn(RequestFailed, "an attempt failed; perhaps_run says whether the server may have run it, and if so fingerprint is what all attempts of the request have in common, segments what it may have in common with others",
			KeyRequest, KeyFingerprint, KeySegments, KeyServer, KeyAttempt, KeyStatus, KeyStage, KeyPerhapsRun, KeyCause, KeyElapsed),
		info(RequestResent, "another server is tried after a failed attempt, or beside a slow one",
			KeyRequest, KeyFrom, KeyTo, KeyAttempt, KeyCause, KeyBudgetLeft),
		info(RequestNotResent, "a server's own failure is passed on, as no further server may be tried",
			KeyRequest, KeyFrom, KeyAttempt, KeyCause, KeyBudgetLeft),
		warn(RequestGivenUp, "the caller got 502 or 504: there is no answer, and a server may have run the request",
			KeyRequest, KeyRoute, KeyAccount, KeyStatus, KeyReason, KeyConfigVersion, KeyConfigAge,
			KeyViewRevision, KeyViewAge, KeyElapsed),
		info(RequestEnded, "the request ended with a server's answer; cause is set when it broke off before its end, since_stop_ms if that was the end of the box",
			KeyRequest, KeyRoute, KeyAccount, KeyServer, KeyStatus, KeyEvents, KeyCause, KeySinceStop, KeyConfigVersion, KeyElapsed),
		info(SentBeforeLeft, "a request was sent to a server before this box learned that it leaves, and after the time at which it surely did not leave; late_ms is the time between",
			KeyRequest, KeyServer, KeyLateBy, KeySentAgo),
		warn(SentLate, "the same, when late_ms is more than half of the time within which a leaving server must get no more requests",
			KeyRequest, KeyServer, KeyLateBy, KeySentAgo),
		warn(SentToLeaving, "a request goes to a server of which this box knows, since known_ms, that it leaves: it continues work there",
			KeyRequest, KeyServer, KeyKnown, KeyState, KeySource),
		info(CallerLeft, "the caller closed its connection before the answer was complete; the attempt is cancelled",
			KeyRequest, KeyRoute, KeyAccount, KeyServer, KeyEvents, KeyConfigVersion, KeyElapsed),
		warn(RequestSuspected, "a server ended while it ran a request, which is now tried at one server at a time; ended lists those that did, source is how it is known or who told",
			KeyFingerprint, KeyAccount, KeyEnded, KeySource),
		warn(RequestHeld, "so many servers ended while they ran a request that none is given it any more; ended lists them, source is how the last is known or who told",
			KeyFingerprint, KeyAccount, KeyEnded, KeySource),
		info(RequestCleared, "the ends of servers under a request do not count any more; failures is how many there were",
			KeyFingerprint, KeyAccount, KeyFailures, KeyReason),
		warn(SegmentHeld, "so many servers ended as they began to answer requests with a prompt segment that none is given such requests any more; ended lists them, source is how the last is known or who told, account is that of the first",
			KeyFingerprint, KeySegment, KeyService, KeyModel, KeyAccount, KeyEnded, KeySource),
		info(SegmentCleared, "the ends of servers under requests with a prompt segment do not count any more; failures is how many there were",
			KeyFingerprint, KeySegment, KeyService, KeyModel, KeyAccount, KeyFailures, KeyReason),
		warn(CallerGaveWay, "the caller was too slow to read or to send: bound is what it gave way to, kept_bytes is what the box keeps for all; the line of the request's end follows",
			KeyRequest, KeyRoute, KeyAccount, KeyBound, KeyBytes, KeyIdle, KeyKept, KeyConfigVersion, KeyElapsed),
	}
}

func streamEvents() []Declaration {
	return []Declaration{
		info(StreamBackupChosen, "after a move, another server is to keep a copy of the stream's KV cache; the first one stands in request-sent",
			KeyRequest, KeyServer, KeyBackup, KeyEmptying, KeyNotice, KeyCandidates, KeyLoad, KeyReason, KeyViewRevision, KeyViewAge),
		warn(StreamBroke, "a running stream's connection to its server ended early; a stream without events had not begun, another one had had none for silent_ms",
			KeyRequest, KeyFingerprint, KeySegments, KeyServer, KeyEvents, KeySilent, KeyBackup, KeyCause, KeyElapsed),
		info(StreamStalled, "a stream lacks events for silent_ms, and is to go on at the server that holds its copy",
			KeyRequest, KeyServer, KeyBackup, KeyEvents, KeySilent),
		info(StreamSwitchEnded, "how that ended: switched, switched-late (after the stalled server had to stop), refused, withdrawn (the stalled server sends again), lost (no answer, and the stalled server had to stop), request-ended; server is where the stream is now, silent_ms counts from the last event before",
			KeyRequest, KeyServer, KeyOutcome, KeySilent, KeyCause),
		warn(StreamToldToStop, "a server went on with a stream that is at another one since, and was told to stop; stopped is false if it gave no such answer",
			KeyRequest, KeyServer, KeyStopped, KeyCause),
		info(StreamMoved, "a stream goes on from another server",
			KeyRequest, KeyFrom, KeyTo, KeyWay, KeyPause, KeyEvents, KeyReason),
		info(StreamCopyFreed, "a copy that no stream goes on from was given back; cause is set when that failed and it takes memory until it runs out",
			KeyRequest, KeyServer, KeyCause),
		warn(StreamMoveFailed, "a stream could not be taken over by a server",
			KeyRequest, KeyFrom, KeyTo, KeyWay, KeyCause, KeyStatus, KeyEvents),
		warn(StreamLost, "a stream was cut at the caller; causes lists what was tried",
			KeyRequest, KeyServer, KeyEvents, KeyBackup, KeyCauses, KeyViewRevision, KeyViewAge, KeyElapsed),
		info(StreamEnded, "a stream ended with its server's own end; pause_ms is its longest pause, unread_tokens what its server had to read then, ms the time to its first event",
			KeyRequest, KeyServer, KeyEvents, KeyElapsed, KeyMoves, KeyPause, KeyPendingPrefill),
	}
}
