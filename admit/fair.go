package admit

// fairness orders the requests of customers with the same urgency when capacity is short. It
// answers the load of one customer that sends many times its usual rate: without it, the queue
// would fill with the requests of that customer, and those of all others would be refused.
//
// It is start-time fair queueing. Each customer has a virtual finish time, which a request
// advances by its expected service time divided by the weight of the customer. A request is
// queued by its virtual start: the later of the finish time of its customer and the virtual
// time, which is the start of the request that was started last. A customer that has got little
// service thus precedes one that has got much, but gains nothing from the time in which it sent
// no requests.
type fairness struct {
	weight  func(customer string) float64
	virtual float64
	finish  map[string]float64 // of customers with a finish time after virtual, and some others
	purgeAt int                // size of finish at which customers are forgotten that have no claim
}

// minPurge is the number of customers up to which none is forgotten.
const minPurge = 64

func newFairness(weight func(string) float64) fairness {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	return fairness{weight: weight, finish: map[string]float64{}, purgeAt: minPurge}
}

// start returns the virtual start of a further request of a customer. Requests without a
// customer have no share to exceed.
func (f *fairness) start(customer string) float64 {
	if customer == "" {
		return f.virtual
	}
	return max(f.virtual, f.finish[customer])
}

// charge advances the finish time of a customer for a request with the given virtual start and
// expected service time in seconds. It returns the amount, which refund takes back if the request
// does not run.
func (f *fairness) charge(customer string, start, seconds float64) float64 {
	if customer == "" {
		return 0
	}
	amount := seconds / max(f.weight(customer), minWeight)
	f.finish[customer] = start + amount
	if len(f.finish) > f.purgeAt {
		f.purge()
	}
	return amount
}

// minWeight bounds the effect of a very small weight.
const minWeight = 1e-3

func (f *fairness) refund(customer string, amount float64) {
	if finish, ok := f.finish[customer]; ok && amount > 0 {
		f.finish[customer] = finish - amount
	}
}

// started records that a request with the given virtual start has started.
func (f *fairness) started(start float64) { f.virtual = max(f.virtual, start) }

// idle ends the comparison of the customers: all their requests have been served.
func (f *fairness) idle() { clear(f.finish) }

// maxCustomers bounds the customers that are remembered.
const maxCustomers = 8192

// purge forgets customers that would start at the virtual time anyway, and all if there are too
// many, as when each of them sends a single request.
func (f *fairness) purge() {
	for customer, finish := range f.finish {
		if finish <= f.virtual {
			delete(f.finish, customer)
		}
	}
	if len(f.finish) > maxCustomers {
		f.idle()
	}
	f.purgeAt = max(minPurge, 2*len(f.finish))
}
