package setting

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

func anyText(string) error { return nil }

func isName(t string) error {
	if t == "" {
		return errors.New("a name is required")
	}
	if strings.ContainsAny(t, " \t/") {
		return fmt.Errorf("%q contains white space or a slash", t)
	}
	return nil
}

func optional(check func(string) error) func(string) error {
	return func(t string) error {
		if t == "" {
			return nil
		}
		return check(t)
	}
}

func oneOf[T ~string](allowed ...T) func(string) error {
	return func(t string) error {
		names := make([]string, 0, len(allowed))
		for _, a := range allowed {
			if t == string(a) {
				return nil
			}
			names = append(names, string(a))
		}
		return fmt.Errorf("%q is none of %s", t, strings.Join(names, ", "))
	}
}

func isURL(t string) error {
	u, err := url.Parse(t)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		return fmt.Errorf("%q is not an http or https URL", t)
	}
	return nil
}

// isListenAddress accepts an empty host, which listens on all addresses.
func isListenAddress(t string) error {
	_, port, err := net.SplitHostPort(t)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		return fmt.Errorf("%q is not an address of the form host:port", t)
	}
	return nil
}

func isAddress(t string) error {
	if err := isListenAddress(t); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(t)
	if host == "" {
		return fmt.Errorf("%q has no host that others can connect to", t)
	}
	return nil
}

// isLoopback reports whether the address can only be reached from this host. Names
// other than localhost are not resolved, because their addresses can change.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}

// checkRelations checks the settings that depend on each other. With an error, it
// returns the name of the invalid setting.
func (s Settings) checkRelations() (string, error) {
	if s.TLS.Mode == Plain {
		for _, o := range []struct{ name, address string }{
			{"link-address", s.LinkAddress}, {"link-advertise", s.LinkAdvertise}, {"operator-address", s.OperatorAddress},
		} {
			if !isLoopback(o.address) {
				return o.name, fmt.Errorf("%q is not a loopback address, which tls-mode plain requires", o.address)
			}
		}
	} else {
		for _, o := range []struct{ name, file string }{
			{"tls-certificate", s.TLS.Certificate}, {"tls-key", s.TLS.Key}, {"tls-authority", s.TLS.Authority},
		} {
			if o.file == "" {
				return o.name, errors.New("a file is required for tls-mode mutual")
			}
		}
	}
	switch {
	case s.ExchangeInterval >= s.OwnerLease:
		return "exchange-interval", fmt.Errorf("%s is not below the owner-lease of %s", s.ExchangeInterval, s.OwnerLease)
	case s.RenewInterval >= s.SlotLease:
		return "renew-interval", fmt.Errorf("%s is not below the slot-lease of %s", s.RenewInterval, s.SlotLease)
	case s.FollowerLease < 2*s.OwnerLease:
		// Owners may use a share for owner-lease after it was granted, so the
		// coordinator counts a follower's lease only for the rest of follower-lease,
		// which must be at least as long.
		return "follower-lease", fmt.Errorf("%s is below twice the owner-lease of %s", s.FollowerLease, s.OwnerLease)
	case s.OrphanTime < s.SlotLease:
		return "orphan-time", fmt.Errorf("%s is below the slot-lease of %s", s.OrphanTime, s.SlotLease)
	}
	return "", nil
}
