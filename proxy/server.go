package proxy

import (
	"crypto/tls"
	"log/slog"
	"net/http"
	"time"
)

// Limits of the listeners.
const (
	readHeaderTimeout = 10 * time.Second
	serverIdleTimeout = 2 * time.Minute // longer than idleConnTimeout, so that the sending side closes first
	maxRequestHeaders = 64 << 10
)

// NewServer returns a server with the limits of the request path. It serves
// HTTP/1.1 only.
func NewServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxRequestHeaders,
		TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){},
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
