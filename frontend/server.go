package frontend

import (
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// NewServer returns a server for callers. It has no write timeout: streams last
// long, and each write of a response has its own deadline.
func NewServer(address string, handler http.Handler, logger zerolog.Logger) *http.Server {
	return &http.Server{
		Addr:              address,
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second, // senders of slow headers must not hold connections
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    32 << 10,
		ErrorLog:          log.New(logger, "", 0),
	}
}
