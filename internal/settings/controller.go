package settings

// Controller holds the settings of dalebend-controller.
type Controller struct {
	versioned
	Log
	PeerTLS

	Listen      string `arg:"--listen,env:DALEBEND_CONTROL_LISTEN" default:"127.0.0.1:8082" help:"HOST:PORT for peers, the router and dalebendctl"`
	Box         string `arg:"--box,env:DALEBEND_BOX,required" help:"name of this box, as in the platform's list"`
	Domain      string `arg:"--failure-domain,env:DALEBEND_FAILURE_DOMAIN,required" help:"failure domain of this box"`
	ObjectAPI   string `arg:"--object-api,env:DALEBEND_OBJECT_API,required" help:"HOST:PORT of the platform's object API"`
	BoxList     string `arg:"--box-list,env:DALEBEND_BOX_LIST" help:"HOST:PORT of the platform's list of boxes; without it this box is alone"`
	RouterAdmin string `arg:"--router-admin,env:DALEBEND_ROUTER_ADMIN" default:"127.0.0.1:8081" help:"HOST:PORT of this box's router for operators"`
}

// Description is the head of the help text.
func (Controller) Description() string {
	return "dalebend-controller is the control path of a box: configuration, members, leases, placement."
}

// Check returns an error for the first invalid setting.
func (c *Controller) Check() error {
	if err := c.check(); err != nil {
		return err
	}
	return checkAddrs([2]string{"listen", c.Listen}, [2]string{"object-api", c.ObjectAPI},
		[2]string{"box-list", c.BoxList}, [2]string{"router-admin", c.RouterAdmin})
}
