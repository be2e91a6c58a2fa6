package link

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// TLSFiles loads the certificate, key and authority of mutual TLS from PEM files.
// Changed files are reloaded at the next handshake. As long as the changed files
// are unusable, for instance because only one of certificate and key has been
// replaced so far, the previously loaded ones stay in use.
//
// The peer must present a certificate signed by the authority. The name in the
// certificate is not compared with the peer's address, because hosts may be
// replaced at any time. Therefore the authority must sign certificates of this
// fleet only.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
	Logger      zerolog.Logger

	mu           sync.Mutex
	loadedStamps [3]fileStamp
	current      *credentials
}

type fileStamp struct {
	modified time.Time
	size     int64
}

type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Server returns a configuration that requires client certificates signed by the
// authority. It returns an error if the files can't be loaded.
func (f *TLSFiles) Server() (*tls.Config, error) {
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			loaded, err := f.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{loaded.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    loaded.authority,
				// A resumed session would not be checked against a changed authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}, nil
}

// Client returns a configuration that presents the certificate and requires a
// server certificate signed by the authority. It returns an error if the files
// can't be loaded.
func (f *TLSFiles) Client() (*tls.Config, error) {
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			loaded, err := f.load()
			if err != nil {
				return nil, err
			}
			return &loaded.certificate, nil
		},
		// VerifyConnection replaces the standard verification, which can't reload the
		// authority and checks the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verifyServer,
	}, nil
}

func (f *TLSFiles) verifyServer(s tls.ConnectionState) error {
	loaded, err := f.load()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	o := x509.VerifyOptions{
		Roots: loaded.authority, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(c)
	}
	if _, err := s.PeerCertificates[0].Verify(o); err != nil {
		return fmt.Errorf("verify server certificate: %w", err)
	}
	return nil
}

// load returns the credentials, and reloads the files if they have changed. It
// fails only if none were loaded before.
func (f *TLSFiles) load() (*credentials, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamp, err := f.stamps()
	if err == nil && f.current != nil && stamp == f.loadedStamps {
		return f.current, nil
	}
	var loaded *credentials
	if err == nil {
		loaded, err = f.read()
	}
	switch {
	case err == nil:
		f.current, f.loadedStamps = loaded, stamp
	case f.current == nil:
		return nil, err
	default:
		f.Logger.Warn().Err(err).Msg("changed TLS files are unusable, the previously loaded ones stay in use")
	}
	return f.current, nil
}

func (f *TLSFiles) stamps() ([3]fileStamp, error) {
	var s [3]fileStamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return s, fmt.Errorf("TLS file: %w", err)
		}
		s[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return s, nil
}

func (f *TLSFiles) read() (*credentials, error) {
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s and key %s: %w", f.Certificate, f.Key, err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("read authority: %s contains no certificate", f.Authority)
	}
	return &credentials{c, pool}, nil
}
