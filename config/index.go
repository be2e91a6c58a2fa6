package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"
)

// Index provides lookups in one version of the document, in time that does not
// depend on the size of the document. It is immutable and safe for concurrent
// use; callers must not modify the slices it returns.
type Index struct {
	document  Document
	accounts  map[string]Account
	services  map[string]Service
	domains   map[string]FailureDomain
	targets   map[string]Target
	byService map[string][]Target
	seed      maphash.Seed
	byKey     map[uint64][]keyEntry
	routes    map[string]map[string]Route // by host and path prefix
}

type keyEntry struct {
	digest  [sha256.Size]byte
	account string
}

// NewIndex returns the index of a valid document. Build it once per version.
func NewIndex(d Document) *Index {
	x := &Index{
		document:  d,
		accounts:  make(map[string]Account, len(d.Accounts)),
		services:  make(map[string]Service, len(d.Services)),
		domains:   make(map[string]FailureDomain, len(d.FailureDomains)),
		targets:   make(map[string]Target, len(d.Targets)),
		byService: make(map[string][]Target, len(d.Services)),
		seed:      maphash.MakeSeed(),
		byKey:     make(map[uint64][]keyEntry, len(d.Accounts)),
		routes:    map[string]map[string]Route{},
	}
	for _, r := range d.Routes {
		if x.routes[r.Host] == nil {
			x.routes[r.Host] = map[string]Route{}
		}
		x.routes[r.Host][r.PathPrefix] = r
	}
	for _, a := range d.Accounts {
		x.accounts[a.Name] = a.WithDefaults()
		for _, k := range a.KeyDigests {
			x.addKey(k, a.Name)
		}
	}
	for _, s := range d.Services {
		x.services[s.Name] = s.WithDefaults()
	}
	for _, f := range d.FailureDomains {
		x.domains[f.Name] = f
	}
	for _, t := range d.Targets {
		x.targets[t.Name] = t
		x.byService[t.Service] = append(x.byService[t.Service], t)
	}
	return x
}

func (x *Index) addKey(digest, account string) {
	e := keyEntry{account: account}
	// Validate rejects malformed digests; one that gets here matches no key.
	if n, err := hex.Decode(e.digest[:], []byte(digest)); err != nil || n != sha256.Size {
		return
	}
	h := maphash.Bytes(x.seed, e.digest[:])
	x.byKey[h] = append(x.byKey[h], e)
}

// Document returns the document that the index was built from.
func (x *Index) Document() Document { return x.document }

// Version returns the version of the document.
func (x *Index) Version() uint64 { return x.document.Version }

// Account returns the account with the name, with its defaults filled in.
func (x *Index) Account(name string) (Account, bool) {
	a, ok := x.accounts[name]
	return a, ok
}

// Service returns the service with the name, with its defaults filled in.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// FailureDomain returns the failure domain with the name.
func (x *Index) FailureDomain(name string) (FailureDomain, bool) {
	f, ok := x.domains[name]
	return f, ok
}

// Target returns the target with the name.
func (x *Index) Target(name string) (Target, bool) {
	t, ok := x.targets[name]
	return t, ok
}

// TargetsOf returns the targets of the service in the order of the document.
func (x *Index) TargetsOf(service string) []Target { return x.byService[service] }

// AccountByKey returns the account that the bearer key belongs to. The hash
// table is keyed by a hash with a random seed, so that the timing of a lookup
// reveals nothing about the stored digests; the digests themselves are compared
// in constant time.
func (x *Index) AccountByKey(key string) (Account, bool) {
	digest := sha256.Sum256([]byte(key))
	for _, e := range x.byKey[maphash.Bytes(x.seed, digest[:])] {
		if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 1 {
			return x.Account(e.account)
		}
	}
	return Account{}, false
}
