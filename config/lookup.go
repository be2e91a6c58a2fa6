package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Account returns the account with the name, with its defaults filled in.
func (d Document) Account(name string) (Account, bool) {
	for _, a := range d.Accounts {
		if a.Name == name {
			return a.WithDefaults(), true
		}
	}
	return Account{}, false
}

// Service returns the service with the name, with its defaults filled in.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s.WithDefaults(), true
		}
	}
	return Service{}, false
}

// FailureDomain returns the failure domain with the name.
func (d Document) FailureDomain(name string) (FailureDomain, bool) {
	for _, f := range d.FailureDomains {
		if f.Name == name {
			return f, true
		}
	}
	return FailureDomain{}, false
}

// Target returns the target with the name.
func (d Document) Target(name string) (Target, bool) {
	for _, t := range d.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return Target{}, false
}

// TargetsOf returns the targets of the service, including leaving and drained
// ones, in the order of the document.
func (d Document) TargetsOf(service string) []Target {
	var targets []Target
	for _, t := range d.Targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	return targets
}

// AccountByKey returns the account that the bearer key belongs to. It compares
// the key with every digest of the document; use Index on the request path.
func (d Document) AccountByKey(key string) (Account, bool) {
	digest := []byte(KeyDigest(key))
	found := -1
	for i, a := range d.Accounts {
		for _, k := range a.KeyDigests {
			if subtle.ConstantTimeCompare([]byte(k), digest) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Account{}, false
	}
	return d.Accounts[found].WithDefaults(), true
}

// KeyDigest returns the lower-case hex SHA-256 digest of a bearer key, the form in
// which documents store keys.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
