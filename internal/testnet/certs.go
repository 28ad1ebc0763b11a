package testnet

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
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/config"
)

// certificateLifetime exceeds the duration of any test.
const certificateLifetime = time.Hour

// Authority is a certificate authority that writes certificates and keys into a
// directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// NewAuthority creates a certificate authority and writes its certificate into
// dir.
func NewAuthority(dir, name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	a := &Authority{dir: dir, key: key, file: filepath.Join(dir, name+"-ca.pem")}
	a.cert = template(name)
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	return a, a.writeCertificate(a.cert, key, a.file)
}

// Issue writes a certificate and key for a VM on the loopback address, with the
// given common name and DNS names.
func (a *Authority) Issue(commonName string, dnsNames ...string) (config.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return config.TLS{}, errors.Wrap(err, "generate key")
	}
	t := template(commonName)
	t.DNSNames = dnsNames
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	base := filepath.Join(a.dir, filepath.Base(a.file)+"-"+commonName)
	files := config.TLS{CertFile: base + ".pem", KeyFile: base + ".key", CAFile: a.file}
	if err := a.writeCertificate(t, key, files.CertFile); err != nil {
		return config.TLS{}, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return config.TLS{}, errors.Wrap(err, "encode key")
	}
	return files, writePEM(files.KeyFile, "EC PRIVATE KEY", der)
}

func template(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime),
	}
}

func (a *Authority) writeCertificate(cert *x509.Certificate, key *ecdsa.PrivateKey, file string) error {
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "create certificate")
	}
	return writePEM(file, "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		return errors.Wrap(err, "write PEM file")
	}
	return nil
}
