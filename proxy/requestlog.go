package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bramleymill/errkind"
	"bramleymill/explain"
	"bramleymill/filter"
)

// Limits of the request log. Under overload most requests are refused, and a log
// line for each would cost more than the refusal.
const (
	requestLinesPerSecond = 40
	requestLinesBurst     = 400
)

// requestLog writes a line for each request that needed more than one attempt or
// failed, and for each attempt that this node refused as the server node. The rate
// of lines is limited. Lines beyond the limit are counted, and the next line states
// how many were omitted.
type requestLog struct {
	log     *slog.Logger
	entry   limitedLines
	server  limitedLines
	dialect *Dialect
}

type limitedLines struct {
	limit   *rate.Limiter
	omitted atomic.Int64 // number of lines omitted since the last one
}

func newRequestLog(c *Config) *requestLog {
	lines := func() limitedLines {
		return limitedLines{limit: rate.NewLimiter(requestLinesPerSecond, requestLinesBurst)}
	}
	return &requestLog{log: c.Log, entry: lines(), server: lines(), dialect: c.Dialect}
}

// allow reports whether a line may be written, and the number of lines that were
// omitted before it.
func (l *limitedLines) allow(now time.Time) (omitted int64, ok bool) {
	if !l.limit.AllowN(now, 1) {
		l.omitted.Add(1)
		return 0, false
	}
	return l.omitted.Swap(0), true
}

// callerID returns the id that the caller assigned to the request.
func (r *requestLog) callerID(c *filter.Call) string {
	if r.dialect != nil && c.Request != nil {
		id := c.Request.Header.Get(r.dialect.RequestID)
		return id[:min(len(id), maxRequestID)]
	}
	return c.Record.CallerID
}

// finished logs the end of a request at its entry node.
func (r *requestLog) finished(now time.Time, c *filter.Call, status int) {
	rec := c.Record
	if rec.Kind == "" && len(rec.Attempts) <= 1 && status < http.StatusInternalServerError {
		return
	}
	omitted, ok := r.entry.allow(now)
	if !ok {
		return
	}
	r.log.LogAttrs(context.Background(), slog.LevelInfo, "request",
		slog.String("id", r.callerID(c)),
		slog.String("request", rec.RequestID),
		slog.String("class", rec.Class),
		slog.String("customer", rec.Customer),
		slog.Uint64("config", rec.ConfigVersion),
		slog.Int("status", status),
		slog.String("kind", string(rec.Kind)),
		slog.String("outcome", outcomeOf(rec.Kind)),
		slog.Duration("duration", rec.Duration),
		slog.String("attempts", describeAttempts(rec)),
		slog.String("left_zone", describeLeaving(rec)),
		slog.String("reason", rec.Reason),
		slog.Int64("lines_left_out", omitted))
}

func outcomeOf(k errkind.Kind) string {
	if k == "" {
		return "answered"
	}
	return string(errkind.Lookup(k).Outcome)
}

// describeAttempts lists the attempts of a request as TARGET:RESULT@START+DURATION.
// After the list of attempts it states for each chosen server the reported load, the
// age of the report, and the estimated cost.
func describeAttempts(rec *explain.Record) string {
	var b strings.Builder
	for i, a := range rec.Attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		result := string(a.Kind)
		switch {
		case a.Lost:
			result = "lost"
		case result == "":
			result = fmt.Sprint(a.Status)
		}
		hedgePrefix := ""
		if a.Hedge {
			hedgePrefix = "hedge:"
		}
		fmt.Fprintf(&b, "%s%s:%s@%v+%v", hedgePrefix, a.Target, result, a.Start.Round(time.Millisecond), a.Duration.Round(time.Millisecond))
	}
	for _, k := range rec.Candidates {
		if k.Chosen {
			fmt.Fprintf(&b, " chosen=%s load=%d age=%v cost=%v", k.Node, k.Reported, k.Age.Round(time.Millisecond), k.Cost.Round(time.Millisecond))
		}
	}
	return b.String()
}

// describeLeaving lists the attempts whose target was in another zone as NUMBER:REASON.
func describeLeaving(rec *explain.Record) string {
	var b strings.Builder
	for _, a := range rec.Attempts {
		if a.LeftZone == "" {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d:%s", a.Number, a.LeftZone)
	}
	return b.String()
}

// refused logs an attempt that failed at this node as the server node, with the load
// of the backend server.
func (r *requestLog) refused(now time.Time, c *filter.Call, l *localServer, err error) {
	omitted, ok := r.server.allow(now)
	if !ok {
		return
	}
	load := l.gate.Load()
	instance := ""
	if l.announced != nil {
		if a := l.announced.latest(); a != nil {
			instance = a.Instance
		}
	}
	r.log.LogAttrs(context.Background(), slog.LevelInfo, "attempt",
		slog.String("id", r.callerID(c)),
		slog.String("request", c.Meta.RequestID),
		slog.String("class", c.Meta.Class),
		slog.String("customer", c.Meta.Customer),
		slog.String("entry", string(c.Meta.EntryNode)),
		slog.Int("number", int(c.Meta.Attempt)),
		slog.String("kind", string(errkind.Of(err).Kind)),
		slog.String("state", l.state().String()),
		slog.String("instance", instance),
		slog.Int("running", load.InFlight),
		slog.Int("queued", load.Queued),
		slog.Int("slots", load.Slots),
		slog.Duration("service_time", load.ServiceTime),
		slog.Float64("pace", load.Slowdown),
		slog.Duration("pace_age", load.SlowdownAge),
		slog.Float64("limit", load.RateLimit),
		slog.Duration("limit_wait", load.RateWait),
		slog.Duration("link_wait", l.link.Backlog()),
		slog.Duration("left", c.Meta.Remaining),
		slog.Bool("movable", c.Meta.Reroutable),
		slog.String("error", err.Error()),
		slog.Int64("lines_left_out", omitted))
}
