package session

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// certificates implements the script command "certificates AUTHORITY NAME...". It
// writes NAME.pem and NAME.key for a new authority and for each further name,
// whose certificate the authority signs.
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	var authority *x509.Certificate
	var signer *ecdsa.PrivateKey
	for i, name := range args {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		ts.Check(err)
		template := &x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 1)), Subject: pkix.Name{CommonName: name},
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		if authority == nil {
			template.IsCA, template.KeyUsage = true, x509.KeyUsageCertSign
			authority, signer = template, key
		}
		der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
		ts.Check(err)
		private, err := x509.MarshalPKCS8PrivateKey(key)
		ts.Check(err)
		for file, block := range map[string]*pem.Block{
			name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "PRIVATE KEY", Bytes: private},
		} {
			ts.Check(os.WriteFile(ts.MkAbs(file), pem.EncodeToMemory(block), 0o600))
		}
	}
}
