package filter

import (
	"net/http"

	"bramleymill/errkind"
)

type classify struct {
	next   Handler
	config Configuration
}

// NewClassify returns the filter that finds the class of a request.
func NewClassify(next Handler, config Configuration) Handler { return &classify{next, config} }

func (f *classify) Serve(c *Call) error {
	if err := rejectUnsupported(c.Request); err != nil {
		return err
	}
	set := f.config.Current()
	if set == nil {
		return errkind.New(errkind.ConfigAbsent, "no confirmed configuration yet")
	}
	c.Class = set.Match(c.Request.Method, c.Request.URL.Path)
	c.Record.ConfigVersion = set.Version
	if c.Class == nil {
		return errkind.New(errkind.NoClass, "no class takes %s %s", c.Request.Method, c.Request.URL.Path)
	}
	key, err := keyOf(c)
	if err != nil {
		return err
	}
	c.Key = key
	c.Meta.Class, c.Meta.ConfigVersion = c.Class.Name, set.Version
	c.Meta.Idempotent, c.Meta.Urgency = c.Class.Idempotent, c.Class.Urgency
	c.Record.Class = c.Class.Name
	return f.next.Serve(c)
}

// rejectUnsupported rejects what would turn the connection into a tunnel, and
// TRACE, which would reveal headers that only nodes may see.
func rejectUnsupported(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect:
		return errkind.New(errkind.BadRequest, "CONNECT is not served")
	case r.Method == http.MethodTrace:
		return errkind.New(errkind.BadRequest, "TRACE is not served")
	case r.Header.Get("Upgrade") != "":
		return errkind.New(errkind.BadRequest, "protocol upgrades are not served")
	}
	return nil
}
