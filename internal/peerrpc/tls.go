package peerrpc

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// NewTLS builds the configuration for both sides from PEM data, which comes from
// settings since boxes have no disks. It returns nil (loopback only) if all are empty.
func NewTLS(cert, key, ca string) (*tls.Config, error) {
	if cert == "" && key == "" && ca == "" {
		return nil, nil
	}
	if cert == "" || key == "" || ca == "" {
		return nil, errors.New("peer TLS needs a certificate, a key and a CA, all three")
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		return nil, fmt.Errorf("read peer certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(ca)) {
		return nil, errors.New("read peer CA: no certificate in it")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
