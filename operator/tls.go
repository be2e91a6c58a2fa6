package operator

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"

	"github.com/pkg/errors"
)

// NewHTTPClient returns an HTTP client that presents the certificate and trusts the
// authority. The arguments are the names of PEM files. If all are empty, the client
// presents no certificate and uses the default authorities.
func NewHTTPClient(certificate, key, authority string) (*http.Client, error) {
	if certificate == "" && key == "" && authority == "" {
		return &http.Client{}, nil
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.New("load authority: the file holds no certificate")
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: roots,
	}
	return &http.Client{Transport: transport}, nil
}
