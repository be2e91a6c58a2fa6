package request

import (
	"net/http"
	"slices"

	"rattanline.example/rattanline/config"
)

// Idempotent tells whether running the request twice does no harm.
func Idempotent(method string, s config.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return s.Idempotent
}

// IsNotRunStatus tells whether the status of a target's response means that it did
// not run the request.
func IsNotRunStatus(status int, s config.Service) bool {
	return slices.Contains(s.NotRunStatuses, status)
}
