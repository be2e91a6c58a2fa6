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

// TLSFiles are the PEM files of mutual TLS. Changed files are read at the next
// handshake; while the new ones are unusable, for instance because only one of
// certificate and key was replaced so far, the previous ones stay in force.
//
// The peer must present a certificate of the authority. Its name is not compared
// with its address, because hosts are replaced at any time: the authority must
// be one that signs certificates of this fleet only.
type TLSFiles struct {
	Certificate string
	Key         string
	Authority   string
	Logger      zerolog.Logger

	mu      sync.Mutex
	stamp   [3]fileStamp
	current *material
}

type fileStamp struct {
	modified time.Time
	size     int64
}

type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Server returns a configuration that requires client certificates. The error
// tells that the files can't be read at present.
func (f *TLSFiles) Server() (*tls.Config, error) {
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := f.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authority,
				// Resumption would skip the check against a changed authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}, nil
}

// Client returns a configuration that presents the certificate and requires one
// of the authority from the server.
func (f *TLSFiles) Client() (*tls.Config, error) {
	if _, err := f.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m, err := f.load()
			if err != nil {
				return nil, err
			}
			return &m.certificate, nil
		},
		// The standard verification uses a fixed authority and the host name;
		// VerifyConnection replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verifyServer,
	}, nil
}

func (f *TLSFiles) verifyServer(s tls.ConnectionState) error {
	m, err := f.load()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("server presented no certificate")
	}
	o := x509.VerifyOptions{
		Roots: m.authority, Intermediates: x509.NewCertPool(),
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

// load returns the material of the files, reading them if they changed.
func (f *TLSFiles) load() (*material, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamp, err := f.stamps()
	if err == nil && f.current != nil && stamp == f.stamp {
		return f.current, nil
	}
	var m *material
	if err == nil {
		m, err = f.read()
	}
	switch {
	case err == nil:
		f.current, f.stamp = m, stamp
	case f.current == nil:
		return nil, err
	default:
		f.Logger.Warn().Err(err).Msg("changed TLS files are unusable, previous ones stay in force")
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

func (f *TLSFiles) read() (*material, error) {
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
	return &material{c, pool}, nil
}
