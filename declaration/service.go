package declaration

import (
	"time"

	"rattanline.example/rattanline/config"
)

// Service refers to a declared service.
type Service struct{ name string }

// ServiceOption sets a property of a declared service.
type ServiceOption func(*config.Service)

// Model declares a service that model engines run, priced by token.
func (f *Fleet) Model(name string, price config.Price, options ...ServiceOption) Service {
	return f.service(config.Service{Name: name, Kind: config.Model, Price: price}, options)
}

// Plain declares a plain HTTP service, priced by request.
func (f *Fleet) Plain(name string, price float64, options ...ServiceOption) Service {
	return f.service(config.Service{Name: name, Kind: config.Plain, Price: config.Price{Request: price}}, options)
}

func (f *Fleet) service(s config.Service, options []ServiceOption) Service {
	for _, o := range options {
		o(&s)
	}
	f.document.Services = append(f.document.Services, s)
	return Service{name: s.Name}
}

// Idempotent allows retries of all calls, whatever their method.
func Idempotent() ServiceOption {
	return func(s *config.Service) { s.Idempotent = true }
}

// Timeout bounds one request from its arrival to the last byte of its response.
func Timeout(d time.Duration) ServiceOption {
	return func(s *config.Service) { s.Timeout = config.Duration(d) }
}

// TrustNotRun adds HTTP statuses that are trusted to mean that the target did not
// run the request.
func TrustNotRun(statuses ...int) ServiceOption {
	return func(s *config.Service) { s.NotRunStatuses = append(s.NotRunStatuses, statuses...) }
}

// Resumable declares that the engines can resume interrupted streams.
func Resumable() ServiceOption {
	return func(s *config.Service) { s.Resume = true }
}
