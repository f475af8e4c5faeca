package settings

import "time"

// Ctl holds the settings of dalebendctl.
type Ctl struct {
	versioned

	Validate   *FileCmd       `arg:"subcommand:validate" help:"check a fleet file, without a store"`
	Diff       *FileCmd       `arg:"subcommand:diff" help:"show what applying a file would change"`
	Apply      *ApplyCmd      `arg:"subcommand:apply" help:"accept a whole fleet file"`
	Get        *GetCmd        `arg:"subcommand:get" help:"print an accepted file, the newest or a version"`
	History    *HistoryCmd    `arg:"subcommand:history" help:"list accepted files, newest first"`
	Rollback   *RollbackCmd   `arg:"subcommand:rollback" help:"accept the file of an older version as a new one"`
	Status     *StatusCmd     `arg:"subcommand:status" help:"show each box: version in force, reach of the store, counters"`
	Explain    *ExplainCmd    `arg:"subcommand:explain" help:"gather the decisions on a request from all boxes"`
	ExplainLog *ExplainLogCmd `arg:"subcommand:explain-log" help:"tell the story of a request, and the cause of its failure, from lines of decision logs"`
	TallyLog   *TallyLogCmd   `arg:"subcommand:tally-log" help:"count how all requests of some decision logs ended, and why"`
	Drain      *DrainCmd      `arg:"subcommand:drain" help:"take a backend server out of use, or back into it"`

	ObjectAPI string `arg:"--object-api,env:DALEBEND_OBJECT_API" help:"HOST:PORT of the platform's object API"`
	BoxList   string `arg:"--box-list,env:DALEBEND_BOX_LIST" help:"HOST:PORT of the platform's list of boxes"`
	Output    string `arg:"--output,env:DALEBEND_OUTPUT" default:"text" help:"text or json"`
	By        string `arg:"--by,env:DALEBEND_BY" help:"operator's name, kept in the history"`
	PeerTLS
}

// FileCmd holds the arguments of validate and diff.
type FileCmd struct {
	File string `arg:"positional,required" help:"fleet file"`
}

// ApplyCmd holds the arguments of apply.
type ApplyCmd struct {
	File         string        `arg:"positional,required" help:"fleet file"`
	Expect       int64         `arg:"--expect" default:"-1" help:"version that the file was written against; without it, the newest"`
	AllowRemoval bool          `arg:"--allow-removal" help:"accept a file that removes more than a fifth of the backend servers or client accounts"`
	Wait         bool          `arg:"--wait" help:"wait until every listed box has it in force"`
	Timeout      time.Duration `arg:"--timeout" default:"30s" help:"give up waiting after this"`
}

// GetCmd holds the arguments of get.
type GetCmd struct {
	Version uint64 `arg:"--version-number" help:"accepted version; without it the newest"`
}

// HistoryCmd holds the arguments of history.
type HistoryCmd struct {
	Limit int `arg:"--limit" default:"20" help:"greatest number of versions"`
}

// RollbackCmd holds the arguments of rollback.
type RollbackCmd struct {
	Version uint64 `arg:"positional,required" help:"version whose file is accepted again"`
}

// StatusCmd has no arguments.
type StatusCmd struct{}

// ExplainCmd holds the arguments of explain.
type ExplainCmd struct {
	Request string `arg:"positional" help:"id from the Dalebend-Request header; without it the latest decisions"`
	Limit   int    `arg:"--limit" default:"50" help:"greatest number of decisions of a box"`
}

// ExplainLogCmd holds the arguments of explain-log.
type ExplainLogCmd struct {
	Request string   `arg:"positional,required" help:"id of the request"`
	Files   []string `arg:"positional" help:"decision logs of one box or of several; without any, standard input"`
}

// TallyLogCmd holds the arguments of tally-log.
type TallyLogCmd struct {
	Files  []string      `arg:"positional" help:"decision logs of one box or of several; without any, standard input"`
	First  time.Duration `arg:"--late-first" help:"time to the first event from which a stream counts as late; 0 is never"`
	Pause  time.Duration `arg:"--late-pause" help:"pause between events from which a stream counts as late; 0 is never"`
	Window time.Duration `arg:"--window" help:"count by windows of this length; 0 is all together"`
}

// DrainCmd holds the arguments of drain.
type DrainCmd struct {
	Server string `arg:"positional,required" help:"backend server"`
	Undo   bool   `arg:"--undo" help:"put it back into use"`
}

// Description is the head of the help text.
func (Ctl) Description() string {
	return "dalebendctl is the operators' command. Exit codes: 0 done, 1 failed, 2 bad usage, 3 bad file, 4 conflict, 5 store unavailable or answer lost, 6 wait was over."
}

// Check returns an error for the first invalid setting.
func (c *Ctl) Check() error {
	if c.Output != "text" && c.Output != "json" {
		return settingError("output", "%q is neither text nor json", c.Output)
	}
	if !c.offline() && c.Status == nil && c.Explain == nil && c.ObjectAPI == "" {
		return settingError("object-api", "is needed for this command")
	}
	if (c.Status != nil || c.Explain != nil || c.Apply != nil && c.Apply.Wait) && c.BoxList == "" {
		return settingError("box-list", "is needed for this command")
	}
	return checkAddrs([2]string{"object-api", c.ObjectAPI}, [2]string{"box-list", c.BoxList})
}

// offline reports whether the command only reads files.
func (c *Ctl) offline() bool { return c.Validate != nil || c.ExplainLog != nil || c.TallyLog != nil }
