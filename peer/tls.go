package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/config"
)

// credentials authenticate VMs to each other with mutual TLS. If nil, sessions use
// plain TCP, and the ID in the Hello message is trusted.
type credentials struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// NoCertificateError reports a file without a certificate in PEM form.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "no certificate in PEM form" }

// loadCredentials reads the PEM files. It returns nil if no CA file is configured.
func loadCredentials(files config.TLS) (*credentials, error) {
	if files.CAFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, &CertificateError{File: files.CertFile, Cause: err}
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, &CertificateError{File: files.CAFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &CertificateError{File: files.CAFile, Cause: &NoCertificateError{}}
	}
	return &credentials{cert: cert, roots: roots}, nil
}

// server performs the TLS handshake with a VM that dialled this one. accept may
// reject its certificate.
func (c *credentials) server(ctx context.Context, conn net.Conn, accept func(*x509.Certificate) error) (net.Conn, error) {
	t := tls.Server(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.cert},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: c.roots,
		VerifyConnection: func(s tls.ConnectionState) error { return accept(s.PeerCertificates[0]) },
	})
	return t, t.HandshakeContext(ctx)
}

// client performs the TLS handshake with a VM that this one dialled.
func (c *credentials) client(ctx context.Context, conn net.Conn, vm string) (net.Conn, error) {
	t := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{c.cert},
		// The standard check ignores the common name, which may carry the VM
		// ID. VerifyConnection checks the chain and the name instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return c.verifyServer(s.PeerCertificates, vm) },
	})
	return t, t.HandshakeContext(ctx)
}

func (c *credentials) verifyServer(chain []*x509.Certificate, vm string) error {
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: c.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	return verifyName(chain[0], vm)
}

// verifyName checks that the common name or a DNS name of the certificate is the VM
// ID.
func verifyName(cert *x509.Certificate, vm string) error {
	for _, name := range certificateNames(cert) {
		if name == vm {
			return nil
		}
	}
	return &IdentityError{Want: vm, Got: cert.Subject.CommonName}
}

func certificateNames(cert *x509.Certificate) []string {
	return append([]string{cert.Subject.CommonName}, cert.DNSNames...)
}
