package declaration

import "rattanline.example/rattanline/config"

// AccountOption sets a property of a declared account.
type AccountOption func(*config.Account)

// Account declares a client account with its fair share of the fleet's capacity.
func (f *Fleet) Account(name string, share float64, options ...AccountOption) {
	a := config.Account{Name: name, Share: share}
	for _, o := range options {
		o(&a)
	}
	f.document.Accounts = append(f.document.Accounts, a)
}

// Uses allows the account to call the services.
func Uses(services ...Service) AccountOption {
	return func(a *config.Account) {
		for _, s := range services {
			a.Services = append(a.Services, s.name)
		}
	}
}

// KeyDigests adds the SHA-256 digests of the account's bearer keys in hex, as
// printed by `printf %s "$KEY" | sha256sum`. Keys don't belong in source code.
func KeyDigests(digests ...string) AccountOption {
	return func(a *config.Account) { a.KeyDigests = append(a.KeyDigests, digests...) }
}

// Queue bounds the requests that the account queues in one daemon, by their number
// and by the total size of their bodies in bytes.
func Queue(requests int, bytes int64) AccountOption {
	return func(a *config.Account) { a.MaxQueued, a.MaxQueuedBytes = requests, bytes }
}
