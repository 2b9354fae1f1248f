package filter

import "bramleymill/errkind"

type internalOnly struct{ next Handler }

// NewInternalOnly returns the filter that rejects calls to internal classes
// that were not proved internal. The proof is made where the call arrives.
func NewInternalOnly(next Handler) Handler { return &internalOnly{next} }

func (f *internalOnly) Serve(c *Call) error {
	if c.Class.InternalOnly && !c.Meta.Internal {
		return errkind.New(errkind.InternalOnly, "class %s takes only proved internal calls", c.Class.Name)
	}
	return f.next.Serve(c)
}
