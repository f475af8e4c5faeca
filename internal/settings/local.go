package settings

// Local holds the settings of dalebend-local.
type Local struct {
	versioned
	Log

	Listen       string `arg:"--listen,env:DALEBEND_LISTEN" default:"127.0.0.1:8080" help:"HOST:PORT for callers"`
	Fleet        string `arg:"--fleet,env:DALEBEND_FLEET,required" help:"fleet file; its backend servers are stood in for"`
	SecondListen string `arg:"--second-listen,env:DALEBEND_SECOND_LISTEN" help:"HOST:PORT of a second router, to try resuming on another box"`
	Admin        string `arg:"--admin,env:DALEBEND_ADMIN" help:"HOST:PORT for operators; none without it"`
}

// Description is the head of the help text.
func (Local) Description() string {
	return "dalebend-local runs a whole fleet in one process, with stand-ins for everything outside, to try dalebend out."
}

// Check returns an error for the first invalid setting.
func (l *Local) Check() error {
	if err := l.check(); err != nil {
		return err
	}
	if err := checkAddrs([2]string{"listen", l.Listen}, [2]string{"second-listen", l.SecondListen}, [2]string{"admin", l.Admin}); err != nil {
		return err
	}
	return checkFile("fleet", l.Fleet)
}
