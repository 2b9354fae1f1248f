package settings

import "testing"

// Guards against limits that are refused although they are valid, or accepted although they
// would leave the process without memory, descriptors or requests.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		valid  bool
	}{
		"none":                              {Limits{}, true},
		"of a small machine":                {Limits{Memory: 96 << 20, RequestMemory: 32 << 20, Descriptors: 256, CallerConnections: 128}, true},
		"too little memory":                 {Limits{Memory: 1 << 20}, false},
		"more for requests than there is":   {Limits{Memory: 64 << 20, RequestMemory: 65 << 20}, false},
		"too few descriptors":               {Limits{Descriptors: 10}, false},
		"more connections than descriptors": {Limits{Descriptors: 100, CallerConnections: 101}, false},
		"negative connections":              {Limits{AddressConnections: -1}, false},
		"socket memory":                     {Limits{Memory: 64 << 20, SocketMemory: 32 << 20, ControlConnections: 100}, true},
		"more for sockets than there is":    {Limits{Memory: 64 << 20, SocketMemory: 65 << 20}, false},
		"negative control connections":      {Limits{ControlConnections: -1}, false},
		"negative lines":                    {Limits{HeaderLines: -1}, false},
		"negative time":                     {Limits{BodyTimeout: -1}, false},
	} {
		s := Settings{Node: "n-1", Region: "r", Zone: "z", PeerAddress: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"}, TrustedNetwork: true, Limits: c.limits}
		if err := s.Complete(); (err == nil) != c.valid {
			t.Errorf("%s: error = %v, want valid %v", name, err, c.valid)
		}
	}
}
