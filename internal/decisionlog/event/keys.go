package event

// Attribute keys. Durations are in whole milliseconds and their keys end in _ms.
const (
	// KeyEvent is the event's name, which slog calls the message.
	KeyEvent = "event"
	// KeyBox is the name of the box that wrote the line.
	KeyBox = "box"
	// KeyTime is the wall clock time of the box, in UTC.
	KeyTime = "time"
	// KeyLevel is INFO, WARN if something was lost or refused, or ERROR after a defect of the program.
	KeyLevel = "level"

	KeyRequest = "request"
	KeyRoute   = "route"
	// KeyFingerprint is common to all attempts of a request.
	KeyFingerprint = "fingerprint"
	// KeySegments lists the prompt segments of a request that other requests may have too, in order.
	KeySegments = "segments"
	// KeySegment is one of them, KeyService and KeyModel are what reads it.
	KeySegment = "segment"
	KeyService = "service"
	KeyModel   = "model"
	// KeyEnded lists the server instances that ended during a request.
	KeyEnded   = "ended"
	KeyAccount = "account"
	KeyAttempt = "attempt"
	KeyStatus  = "status"
	KeyReason  = "reason"
	KeyCause   = "cause"
	KeyCauses  = "causes"
	// KeyStage is the text of an exchange.Stage.
	KeyStage   = "stage"
	KeyWay     = "way"
	KeyElapsed = "ms"

	KeyNotRun     = "not_run"
	KeyPerhapsRun = "perhaps_run"
	KeyRetryAfter = "retry_after_ms"
	KeyDeadline   = "deadline_ms"
	KeyBudgetLeft = "budget_left"

	KeyServer         = "server"
	KeyFrom           = "from"
	KeyTo             = "to"
	KeyBackup         = "backup"
	KeyCandidates     = "candidates"
	KeyLoad           = "load"
	KeyRank           = "rank"
	KeyExpectedTokens = "expected_tokens"
	KeyPendingPrefill = "unread_tokens"
	KeyExpectedFirst  = "expected_first_ms"
	KeyExpectedPauses = "expected_pauses"
	// KeyWithin is the longest expected time to first event with which a generation is admitted.
	// KeyReturned is set for a returning caller, which has priority, and KeyOverShare for an
	// account that used more than its share.
	KeyWithin    = "within_ms"
	KeyReturned  = "returned"
	KeyOverShare = "over_share"
	// KeyEmptying is the time needed to migrate generations without a copy off an engine, KeyNotice
	// the notice that engines are expected to give before they end.
	KeyEmptying = "emptying_ms"
	KeyNotice   = "notice_ms"

	// KeySinceStop is when a request arrived, counted from the order to stop; negative is before it.
	KeySinceStop = "since_stop_ms"

	KeyEvents = "events"
	KeyMoves  = "moves"
	KeyPause  = "pause_ms"
	// KeyBehind is how long after this box a peer knows a change of the servers.
	KeyBehind = "behind_ms"
	// KeySilent is the time since a stream's last event, KeyOutcome how a switch to another engine ended.
	KeySilent  = "silent_ms"
	KeyOutcome = "outcome"

	// KeyBound names a bound on buffered bytes, KeyBytes is the buffered size for one connection
	// and KeyKept for all; KeyIdle is the time without progress of the caller.
	KeyBound = "bound"
	KeyBytes = "bytes"
	KeyKept  = "kept_bytes"
	KeyIdle  = "idle_ms"

	KeyConfigVersion = "config_version"
	KeyConfigAge     = "config_age_ms"
	KeyViewRevision  = "view_revision"
	KeyViewAge       = "view_age_ms"

	KeyVersion  = "version"
	KeySource   = "source"
	KeyRevision = "revision"
	// KeyEra is the era of the store to which a revision belongs, 0 if it states none.
	KeyEra = "store_era"
	// KeyEraBefore and KeyRevisionBefore are those before the ones in KeyEra and KeyRevision.
	KeyEraBefore      = "store_era_before"
	KeyRevisionBefore = "revision_before"
	// KeyKeptServers are the servers that the store's copy lacks and that stay in use for a while, KeyWithheld
	// those that had gone and that the copy still has.
	KeyKeptServers = "kept"
	KeyStopped     = "stopped"
	KeyWithheld    = "withheld"
	KeyAdded       = "added"
	KeyGone        = "gone"
	// KeyDraining is the number of draining servers in a view; KeyLeaving lists those that began to
	// drain.
	KeyDraining = "draining"
	KeyLeaving  = "leaving"
	KeyServers  = "servers"
	KeyPeer     = "peer"
	KeyLive     = "live"
	// KeyHeard and KeyLost count new peers and lost ones.
	KeyHeard    = "heard"
	KeyLost     = "lost"
	KeyFailures = "failures"
	KeyAway     = "away_ms"
	// KeyCondition is the kind of condition that a server reported of itself, KeyAge the age of the
	// report.
	KeyCondition = "word"
	KeyAge       = "age_ms"
	// KeyState is what a box learned of a server that leaves, KeyKnown the time since then. KeyUnconfirmed is how
	// old the state was that the box decided by until then.
	KeyState       = "state"
	KeyKnown       = "known_ms"
	KeyUnconfirmed = "unconfirmed_ms"
	// KeySentAgo is the time since a send, KeyLateBy the longest time for which its server may have been
	// leaving by then.
	KeySentAgo = "sent_ago_ms"
	KeyLateBy  = "late_ms"
	// KeyPerSecond is a rate in requests per second.
	KeyPerSecond = "per_second"
	// KeyLeavesIn is the time until a server ends, as it reported.
	KeyLeavesIn = "leaves_in_ms"
	KeyOpen     = "open"
	KeyRole     = "role"
	KeyDomain   = "failure_domain"
	KeyDomains  = "failure_domains"
	KeyAddress  = "address"
	KeyKind     = "kind"

	// KeyWork is what a goroutine did when it panicked, KeyStack its stack.
	KeyWork  = "work"
	KeyStack = "stack"

	KeyQueueFull  = "queue_full"
	KeyOverBudget = "over_budget"
	KeyByEvent    = "by_event"
)

// CauseStopped is the cause of an answer that was cut when the box ended.
const CauseStopped = "the box ended before the answer did"

// Values of KeyWay: how a stream got to another server.
const (
	// WayBackup continues from the copy at a backup server.
	WayBackup = "backup"
	// WayMove transfers the KV cache first, then continues.
	WayMove = "move"
)
