package filter

import (
	"bramleymill/errkind"
	"bramleymill/fleet"
)

// Chooser chooses a backend server from what is known about the candidates.
type Chooser interface {
	// Choose returns no server if none of the candidates may be used.
	Choose(c *Call, candidates []fleet.Server) (fleet.Server, bool)
}

type choose struct {
	next      Handler
	directory Directory
	chooser   Chooser
}

// NewChoose returns the filter that chooses the target of an attempt.
func NewChoose(next Handler, d Directory, ch Chooser) Handler { return &choose{next, d, ch} }

func (f *choose) Serve(c *Call) error {
	s, ok := f.chooser.Choose(c, f.directory.Servers(c.Class.Service))
	if !ok {
		return errkind.New(errkind.NoBackendServer, "service %s has no backend server to try", c.Class.Service)
	}
	c.Target = s
	c.Meta.Target, c.Meta.Incarnation = s.Node, s.Incarnation
	return f.next.Serve(c)
}
