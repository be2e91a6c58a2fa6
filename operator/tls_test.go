package operator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/submission"
)

// authority issues certificates into files of one directory.
type authority struct {
	*qt.C
	directory string
	root      *x509.Certificate
	key       *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{C: qt.New(t), directory: t.TempDir()}
	a.root, a.key = a.issue("root")
	return a
}

func (a *authority) file(name string) string { return filepath.Join(a.directory, name) }

func (a *authority) issue(name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: a.root == nil,
	}
	parent, signer := a.root, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	a.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	a.Assert(err, qt.IsNil)
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "PRIVATE KEY", Bytes: private},
	} {
		a.Assert(os.WriteFile(a.file(file), pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	certificate, err := x509.ParseCertificate(der)
	a.Assert(err, qt.IsNil)
	return certificate, key
}

// Guards against operators that are accepted without a certificate of the authority,
// and against a rejected certificate that is reported as an unknown outcome.
func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	daemon, key := a.issue("d1")
	f := &fakeFleet{document: eastDocument(3, false)}
	server := httptest.NewUnstartedServer((&operator.Server{Fleet: f, Log: zerolog.Nop()}).Handler())
	roots := x509.NewCertPool()
	roots.AddCert(a.root)
	server.TLS = &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{daemon.Raw}, PrivateKey: key}},
		ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: roots,
	}
	server.StartTLS()
	defer server.Close()

	drain := func(from *authority, name string) (submission.Outcome, error) {
		from.issue(name)
		h, err := operator.NewHTTPClient(from.file(name+".pem"), from.file(name+".key"), a.file("root.pem"))
		a.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return (&operator.Client{URL: server.URL, HTTP: h}).SetDrained(ctx, "east", true, "x")
	}
	o, err := drain(a, "yanagi")
	a.Assert(err, qt.IsNil)
	a.Assert(o, qt.Equals, submission.Accepted{Version: 4})
	a.Assert(f.requests[0].Author, qt.Equals, "yanagi")

	_, err = drain(newAuthority(t), "stranger")
	a.Assert(err, qt.ErrorMatches, "drain: .*tls: .*")
	a.Assert(f.requests, qt.HasLen, 1)
}
