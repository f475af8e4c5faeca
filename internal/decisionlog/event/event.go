// Package event declares every event of the decision log: its name, meaning and attributes.
//
// docs/LOGS.md is generated from these declarations; a test keeps them in sync.
package event

import "log/slog"

// Name identifies the decision or change that a line reports.
type Name string

// Events of the process.
const (
	Start            Name = "start"
	Ready            Name = "ready"
	NotReady         Name = "not-ready"
	StopBegins       Name = "stop-begins"
	StopEnds         Name = "stop-ends"
	SettingsReloaded Name = "settings-reloaded"
	SettingsRefused  Name = "settings-refused"
	LinesDropped     Name = "log-lines-dropped"
	Suspended        Name = "suspended"
	HeldUp           Name = "held-up"
	WorkPanicked     Name = "work-panicked"
)

// Events of a box's dependencies and of its state.
const (
	StoreLost        Name = "store-lost"
	StoreRegained    Name = "store-regained"
	StoreReturned    Name = "store-returned"
	StoreEraRefused  Name = "store-era-refused"
	PeerLost         Name = "peer-lost"
	PeerRegained     Name = "peer-regained"
	PeersChanged     Name = "peers-changed"
	PeerBehind       Name = "peer-behind"
	PeerCaughtUp     Name = "peer-caught-up"
	WatchTaken       Name = "watch-taken"
	WatchGivenUp     Name = "watch-given-up"
	ConfigInForce    Name = "config-in-force"
	CordonsInForce   Name = "cordons-in-force"
	EnginesCrowded   Name = "engines-crowded"
	ConfigRefused    Name = "config-refused"
	ServersView      Name = "servers-view"
	EntryRefused     Name = "entry-refused"
	ServerEjected    Name = "server-ejected"
	ServerReadmitted Name = "server-readmitted"
	ServerLimited    Name = "server-limited"
	ServerUnlimited  Name = "server-unlimited"
	ServerLeaving    Name = "server-leaving"
	ServerLeft       Name = "server-left"
	ServerLeftLate   Name = "server-left-late"
	ServerBack       Name = "server-back"
	ServerHeldOff    Name = "server-held-off"
	ServerResumed    Name = "server-resumed"
	ServerBrittle    Name = "server-brittle"
	ServerSturdy     Name = "server-sturdy"
	ConditionRefused Name = "condition-refused"
	EngineDeparts    Name = "engine-departs"
	EngineStarted    Name = "engine-started"
	EngineSilent     Name = "engine-silent"
	// ServersUnreachable and ServersReachable tell of the box's own paths to all servers.
	ServersUnreachable Name = "servers-unreachable"
	ServersReachable   Name = "servers-reachable"
	// PathLost and PathRegained tell of the box's own path to one server.
	PathLost     Name = "path-lost"
	PathRegained Name = "path-regained"
	// TunnelOpened tells of a connection to a server for another box.
	TunnelOpened Name = "tunnel-opened"
)

// Events of requests.
const (
	RequestRefused   Name = "request-refused"
	RequestSent      Name = "request-sent"
	RequestByPeer    Name = "request-by-peer"
	RequestFailed    Name = "request-failed"
	RequestResent    Name = "request-resent"
	RequestGivenUp   Name = "request-given-up"
	RequestNotResent Name = "request-not-resent"
	RequestEnded     Name = "request-ended"
	SentBeforeLeft   Name = "sent-before-left"
	SentLate         Name = "sent-late"
	SentToLeaving    Name = "sent-to-leaving"
	CallerLeft       Name = "caller-left"
	CallerGaveWay    Name = "caller-gave-way"
	RequestSuspected Name = "request-suspected"
	RequestHeld      Name = "request-held"
	RequestCleared   Name = "request-cleared"
	SegmentHeld      Name = "segment-held"
	SegmentCleared   Name = "segment-cleared"
)

// Events of streams after their first byte.
const (
	StreamBackupChosen Name = "stream-backup-chosen"
	StreamBroke        Name = "stream-broke"
	StreamStalled      Name = "stream-stalled"
	StreamSwitchEnded  Name = "stream-switch-ended"
	StreamToldToStop   Name = "stream-told-to-stop"
	StreamMoved        Name = "stream-moved"
	StreamMoveFailed   Name = "stream-move-failed"
	StreamCopyFreed    Name = "stream-copy-freed"
	StreamLost         Name = "stream-lost"
	StreamEnded        Name = "stream-ended"
)

// Declaration describes one event.
type Declaration struct {
	Name    Name
	Level   slog.Level
	Meaning string
	// Keys are the attributes that a line may have besides time, level, event and box.
	Keys []string
}

// Level returns the declared level of an event, Info if it isn't declared.
func (n Name) Level() slog.Level {
	return levels[n]
}

// levels is read-only after package initialization.
var levels = func() map[Name]slog.Level {
	byName := make(map[Name]slog.Level)
	for _, d := range Declarations() {
		byName[d.Name] = d.Level
	}
	return byName
}()
