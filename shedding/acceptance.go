package shedding

// Acceptance estimates which fraction of the requests that load shedding admits is accepted by
// backend servers. The rest is refused by full hops and uses no memory. It is not safe for
// concurrent use.
type Acceptance struct {
	admitted, accepted float64 // sums that decay by acceptanceGain with each request
}

const (
	acceptanceGain = 0.05
	// acceptancePrior is the weight of the initial estimate of 1, in requests.
	acceptancePrior = 3.0
)

// Observe records an admitted request.
func (a *Acceptance) Observe(accepted bool) {
	a.admitted, a.accepted = (1-acceptanceGain)*a.admitted+1, (1-acceptanceGain)*a.accepted
	if accepted {
		a.accepted++
	}
}

// Ratio returns the estimate.
func (a *Acceptance) Ratio() float64 {
	return (a.accepted + acceptancePrior) / (a.admitted + acceptancePrior)
}
