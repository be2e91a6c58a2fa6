package config

import (
	"fmt"
	"math"
	"net/url"
	"strings"
	"unicode"
)

const maxNameBytes = 128

// Validate checks the accounts, services, failure domains and targets, their
// references to each other, and the size of the encoded document. Its error is of
// type Problems.
func (d Document) Validate() error {
	v := validator{
		services: make(map[string]bool, len(d.Services)),
		domains:  make(map[string]bool, len(d.FailureDomains)),
		digests:  map[string]string{},
	}
	// These two calls collect the names that accounts and targets refer to.
	v.checkServices(d.Services)
	v.checkDomains(d.FailureDomains)
	v.checkAccounts(d.Accounts)
	v.checkTargets(d.Targets)
	if len(v.problems) == 0 {
		v.checkSize(d)
	}
	if len(v.problems) > 0 {
		return v.problems
	}
	return nil
}

type validator struct {
	problems Problems
	services map[string]bool
	domains  map[string]bool
	digests  map[string]string // account name by key digest
}

func (v *validator) require(ok bool, field, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) checkSize(d Document) {
	data, err := Encode(d)
	if err != nil {
		v.require(false, "", "encode document: %v", err)
		return
	}
	v.require(len(data) <= MaxStoredBytes, "", "the stored document has %d bytes, at most %d are allowed", len(data), MaxStoredBytes)
}

// checkName checks that the name is well formed and not in seen, and adds it to
// seen. Slashes are only allowed for models, whose names are not used in URL
// paths.
func (v *validator) checkName(field, name string, slash bool, seen map[string]bool) {
	field += ".name"
	switch {
	case name == "":
		v.require(false, field, "a name is required")
	case len(name) > maxNameBytes:
		v.require(false, field, "%.20q… is longer than %d bytes", name, maxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
		v.require(false, field, "%q contains white space or control characters", name)
	case !slash && strings.Contains(name, "/"):
		v.require(false, field, "%q contains a slash", name)
	case seen[name]:
		v.require(false, field, "%q is not unique", name)
	}
	seen[name] = true
}

func (v *validator) checkServices(services []Service) {
	for i, s := range services {
		f := fmt.Sprintf("services[%d]", i)
		v.checkName(f, s.Name, s.Kind == Model, v.services)
		v.require(s.Kind == Model || s.Kind == Plain, f+".kind", "%q is neither %q nor %q", s.Kind, Model, Plain)
		v.checkPrice(f+".price", s)
		v.require(s.Timeout >= 0, f+".timeout", "%s is negative", s.Timeout.Std())
		v.require(!s.Resume || s.Kind == Model, f+".resume", "only model services can resume streams")
		for j, status := range s.NotRunStatuses {
			v.require(status >= 400 && status <= 599, fmt.Sprintf("%s.not-run-statuses[%d]", f, j),
				"%d is not an error status from 400 to 599", status)
		}
	}
}

func (v *validator) checkPrice(field string, s Service) {
	p := s.Price
	for _, o := range []struct {
		name  string
		price float64
	}{{"request", p.Request}, {"input-token", p.InputToken}, {"output-token", p.OutputToken}} {
		v.require(o.price >= 0 && !math.IsInf(o.price, 0), field+"."+o.name, "%v is not a finite number of at least 0", o.price)
	}
	v.require(p.Request > 0 || p.InputToken > 0 || p.OutputToken > 0, field, "at least one price must be above 0")
	v.require(s.Kind != Plain || (p.InputToken == 0 && p.OutputToken == 0), field, "plain services have only a request price")
}

func (v *validator) checkDomains(domains []FailureDomain) {
	for i, d := range domains {
		v.checkName(fmt.Sprintf("failure-domains[%d]", i), d.Name, false, v.domains)
	}
}

func (v *validator) checkAccounts(accounts []Account) {
	seen := make(map[string]bool, len(accounts))
	for i, a := range accounts {
		f := fmt.Sprintf("accounts[%d]", i)
		v.checkName(f, a.Name, false, seen)
		v.require(a.Share > 0 && !math.IsInf(a.Share, 0), f+".share", "%v is not a finite number above 0", a.Share)
		v.require(a.MaxQueued >= 0, f+".max-queued", "%d is negative", a.MaxQueued)
		v.require(a.MaxQueuedBytes >= 0, f+".max-queued-bytes", "%d is negative", a.MaxQueuedBytes)
		allowed := make(map[string]bool, len(a.Services))
		for j, s := range a.Services {
			field := fmt.Sprintf("%s.services[%d]", f, j)
			v.require(v.services[s], field, "service %q does not exist", s)
			v.require(!allowed[s], field, "service %q is listed twice", s)
			allowed[s] = true
		}
		for j, k := range a.KeyDigests {
			v.checkDigest(fmt.Sprintf("%s.key-digests[%d]", f, j), k, a.Name)
		}
	}
}

func (v *validator) checkDigest(field, digest, account string) {
	if len(digest) != 64 || strings.Trim(digest, "0123456789abcdef") != "" {
		v.require(false, field, "a digest has 64 lower-case hex characters")
		return
	}
	owner, taken := v.digests[digest]
	v.require(!taken, field, "the digest is already used by account %q", owner)
	v.digests[digest] = account
}

func (v *validator) checkTargets(targets []Target) {
	seen := make(map[string]bool, len(targets))
	for i, t := range targets {
		f := fmt.Sprintf("targets[%d]", i)
		v.checkName(f, t.Name, false, seen)
		v.require(v.services[t.Service], f+".service", "service %q does not exist", t.Service)
		v.require(v.domains[t.FailureDomain], f+".failure-domain", "failure domain %q does not exist", t.FailureDomain)
		if err := checkURL(t.URL); err != nil {
			v.require(false, f+".url", "%v", err)
		}
		v.require(t.ColdLimit >= 1, f+".cold-limit", "%d is below 1", t.ColdLimit)
		v.require(t.ColdLimit <= t.MaxLimit, f+".cold-limit", "%d is above the max-limit of %d", t.ColdLimit, t.MaxLimit)
	}
}

func checkURL(raw string) error {
	u, err := url.Parse(raw)
	switch {
	case err != nil:
		return err
	case u.Scheme != "http" && u.Scheme != "https":
		return fmt.Errorf("%q is not an http or https URL", raw)
	case u.Hostname() == "":
		return fmt.Errorf("%q has no host", raw)
	case u.User != nil || u.RawQuery != "" || u.Fragment != "":
		return fmt.Errorf("%q has a user, query or fragment", raw)
	}
	return nil
}
