package request

import (
	"net/http"
	"slices"

	"rattanline.example/rattanline/config"
)

// Idempotent reports whether the request may safely run twice.
func Idempotent(method string, s config.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	}
	return s.Idempotent
}

// IsNotRunStatus reports whether the status of a target's response means that the
// target did not run the request.
func IsNotRunStatus(status int, s config.Service) bool {
	return slices.Contains(s.NotRunStatuses, status)
}
