package filter

import "bramleymill/errkind"

type internalOnly struct{ next Handler }

// NewInternalOnly returns the filter that rejects calls of internal classes unless they are
// authenticated as internal. The listener that receives a call authenticates it and sets
// Call.Meta.Internal.
func NewInternalOnly(next Handler) Handler { return &internalOnly{next} }

func (f *internalOnly) Serve(c *Call) error {
	if c.Class.InternalOnly && !c.Meta.Internal {
		return errkind.New(errkind.InternalOnly, "class %s accepts only calls that are proved to be internal", c.Class.Name)
	}
	return f.next.Serve(c)
}
