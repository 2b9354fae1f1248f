package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// healthAnswer is an answer of the health endpoint.
type healthAnswer struct {
	instance string
	healthy  bool
	load     LoadState
	hasLoad  bool // the answer has a valid load header
	sentAt   time.Time
	header   http.Header
}

const (
	// healthPerSecond and healthBurst keep the queries below 60 in any second, which is what a
	// backend server accepts.
	healthPerSecond = 50
	healthBurst     = 5
)

var errHealthLimit = errors.New("the health endpoint has been queried too often")

// health sends one request to the health endpoint. Concurrent calls share one
// request.
func (a *announcedState) health(ctx context.Context) (healthAnswer, error) {
	v, err, _ := a.healthRequests.Do("", func() (any, error) { return a.request(context.WithoutCancel(ctx)) })
	if err != nil {
		return healthAnswer{}, err
	}
	return v.(healthAnswer), nil
}

func (a *announcedState) request(ctx context.Context) (healthAnswer, error) {
	if !a.queries.Allow() {
		return healthAnswer{}, errHealthLimit
	}
	sentAt := a.config.Clock.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.config.Backend.Address+a.healthPath(), nil)
	if err != nil {
		return healthAnswer{}, err
	}
	resp, err := a.client.Do(req)
	a.config.Metrics.Probed(err == nil && resp.StatusCode == http.StatusOK)
	if err != nil {
		return healthAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusContinue {
		return healthAnswer{}, errNoStatus
	}
	if _, err := io.CopyN(io.Discard, resp.Body, maxHealthBytes); err != nil && !errors.Is(err, io.EOF) {
		return healthAnswer{}, err
	}
	h := healthAnswer{instance: resp.Header.Get(a.config.Dialect.Instance), healthy: resp.StatusCode == http.StatusOK, header: resp.Header, sentAt: sentAt}
	h.load, h.hasLoad = parseLoad(resp.Header.Get(a.config.Dialect.Load))
	return h, nil
}

// healthPath returns the path of the health endpoint: the one that is configured
// for the service, otherwise the one in the settings of the node.
func (a *announcedState) healthPath() string {
	if set := a.config.Configuration.Current(); set != nil {
		if s := set.Service(a.config.Backend.Service); s != nil && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return a.config.Backend.HealthPath
}
