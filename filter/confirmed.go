package filter

import (
	"time"

	"bramleymill/errkind"
)

// MaxConfirmationAge is the confirmation age of the configuration above which new work is
// refused. It is below 14 s, the limit within which a change must be in force.
const MaxConfirmationAge = 10 * time.Second

type confirmed struct {
	next   Handler
	config Configuration
}

// NewConfirmed returns the filter that refuses work when the configuration may have been
// superseded, except for classes that may be served under a stale configuration.
func NewConfirmed(next Handler, config Configuration) Handler { return &confirmed{next, config} }

func (f *confirmed) Serve(c *Call) error {
	if age := f.config.ConfirmationAge(); age > MaxConfirmationAge && !c.Class.ServeUnconfirmed {
		return errkind.New(errkind.ConfigUnconfirmed, "configuration %d was last confirmed %v ago", c.Meta.ConfigVersion, age)
	}
	return f.next.Serve(c)
}
