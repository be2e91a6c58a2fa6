package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// authority issues certificates for the tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(c *qt.C) *authority {
	a := &authority{}
	a.key, a.cert = a.sign(c, &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

func (a *authority) sign(c *qt.C, t *x509.Certificate) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	t.SerialNumber = big.NewInt(time.Now().UnixNano())
	t.NotBefore, t.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = t, key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, signer)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return key, cert
}

// write issues a certificate and writes it to the files, together with the
// authority that the certificates of its peers must be signed by.
func (a *authority) write(c *qt.C, f *TLSFiles, peers *authority) {
	key, cert := a.sign(c, &x509.Certificate{
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	der, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	for name, b := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: cert.Raw},
		f.Key:         {Type: "PRIVATE KEY", Bytes: der},
		f.Authority:   {Type: "CERTIFICATE", Bytes: peers.cert.Raw},
	} {
		c.Assert(os.WriteFile(name, pem.EncodeToMemory(b), 0o600), qt.IsNil)
	}
}

func newFiles(c *qt.C) *TLSFiles {
	d := c.TempDir()
	return &TLSFiles{
		Certificate: filepath.Join(d, "cert.pem"), Key: filepath.Join(d, "key.pem"),
		Authority: filepath.Join(d, "authority.pem"),
	}
}

func serverConfig(c *qt.C, f *TLSFiles) *tls.Config {
	t, err := f.Server()
	c.Assert(err, qt.IsNil)
	return t
}

func newTLSClient(c *qt.C, f *TLSFiles) *Client {
	t, err := f.Client()
	c.Assert(err, qt.IsNil)
	return newClient(c, &Client{TLS: t})
}

// Guards against peers that are accepted without a certificate of the authority,
// and against certificates that need a restart to change.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(c), newAuthority(c)
	serverFiles := newFiles(c)
	ours.write(c, serverFiles, ours)
	s := &Server{TLS: serverConfig(c, serverFiles)}
	e, _ := start(c, s)
	client := func(c *qt.C, own, peers *authority) *Client {
		f := newFiles(c)
		own.write(c, f, peers)
		return newTLSClient(c, f)
	}

	c.Run("peers of the same authority connect", func(c *qt.C) {
		c.Assert(callEcho(client(c, ours, ours), s.Addr()), qt.IsNil)
	})
	c.Run("a client of another authority is rejected", func(c *qt.C) {
		before := e.calls.Load()
		c.Assert(callEcho(client(c, theirs, ours), s.Addr()), qt.IsNotNil)
		c.Assert(e.calls.Load(), qt.Equals, before)
	})
	c.Run("a client without a certificate is rejected", func(c *qt.C) {
		before := e.calls.Load()
		none := &tls.Config{InsecureSkipVerify: true}
		c.Assert(callEcho(newClient(c, &Client{TLS: none}), s.Addr()), qt.IsNotNil)
		c.Assert(e.calls.Load(), qt.Equals, before)
		// Only a connection that writes nothing reads the alert reliably: a
		// write to the closed connection may discard it.
		raw, err := tls.Dial("tcp", s.Addr(), none)
		c.Assert(err, qt.IsNil)
		_, err = raw.Read(make([]byte, 1))
		c.Assert(err, qt.ErrorMatches, ".*certificate required.*")
		c.Assert(raw.Close(), qt.IsNil)
	})
	c.Run("a server of another authority is rejected", func(c *qt.C) {
		c.Assert(callEcho(client(c, ours, theirs), s.Addr()), qt.ErrorMatches, ".*verify server certificate.*")
	})
	c.Run("changed files are in force without a restart", func(c *qt.C) {
		rejected := client(c, theirs, theirs)
		c.Assert(callEcho(rejected, s.Addr()), qt.IsNotNil)
		theirs.write(c, serverFiles, theirs)
		assertEventually(c, func() error { return callEcho(rejected, s.Addr()) })
	})
	c.Run("unusable files leave the previous ones in force", func(c *qt.C) {
		c.Assert(os.WriteFile(serverFiles.Key, []byte("half"), 0o600), qt.IsNil)
		c.Assert(callEcho(client(c, theirs, theirs), s.Addr()), qt.IsNil)
	})
}
