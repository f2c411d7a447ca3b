package pki

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// The types of PEM blocks in files.
const (
	pemPrivateKey     = "PRIVATE KEY"
	pemCertificate    = "CERTIFICATE"
	pemRevocationList = "X509 CRL"
)

const (
	maxFileBytes = 1 << 20

	keyFileMode     fs.FileMode = 0o600
	otherUsersPerms fs.FileMode = 0o077 // of group and others; a key file must have none of them
)

// Errors of the content of a file. They are wrapped with its path.
var (
	errNotEd25519    = errors.New("not an Ed25519 key")
	errIncomplete    = errors.New("a key and its certificate are needed")
	errNotCertOfKey  = errors.New("the certificate is not that of the key")
	errNoCertificate = errors.New("no certificate in it")
	errNotList       = errors.New("not a list of revoked certificates")
)

// WriteKeyFile writes a private key with its certificate to a new file of mode 0600. An existing file is left as it is,
// and the error is fs.ErrExist.
func WriteKeyFile(path string, key ed25519.PrivateKey, cert *x509.Certificate) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	content := pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der})
	content = append(content, EncodeCertificate(cert)...)
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Close())
}

// EncodeCertificate returns the PEM encoding of a certificate.
func EncodeCertificate(cert *x509.Certificate) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: cert.Raw})
}

// EncodeRevocationList returns the PEM encoding of a revocation list.
func EncodeRevocationList(list *x509.RevocationList) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemRevocationList, Bytes: list.Raw})
}

// ReadKeyFile reads a file that WriteKeyFile wrote. It is an error if group or others have any permission for it, or
// if the key and the certificate don't belong together. Errors name the path.
func ReadKeyFile(path string) (ed25519.PrivateKey, *x509.Certificate, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, err
	}
	if mode := info.Mode().Perm(); mode&otherUsersPerms != 0 {
		return nil, nil, fmt.Errorf("%s: mode %04o lets others at the key: 0600 is needed", path, mode)
	}
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, nil, err
	}
	key, cert, err := parseKeyBlocks(blocks)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return key, cert, nil
}

// parseKeyBlocks returns the private key and the certificate in the blocks of a key file. If there are several of one
// type the last counts.
func parseKeyBlocks(blocks []*pem.Block) (ed25519.PrivateKey, *x509.Certificate, error) {
	var key ed25519.PrivateKey
	var cert *x509.Certificate
	for _, block := range blocks {
		var err error
		switch block.Type {
		case pemPrivateKey:
			key, err = parsePrivateKey(block.Bytes)
		case pemCertificate:
			cert, err = x509.ParseCertificate(block.Bytes)
		}
		if err != nil {
			return nil, nil, err
		}
	}
	if key == nil || cert == nil {
		return nil, nil, errIncomplete
	}
	public, ok := cert.PublicKey.(ed25519.PublicKey)
	if !ok || !public.Equal(key.Public()) {
		return nil, nil, errNotCertOfKey
	}
	return key, cert, nil
}

func parsePrivateKey(der []byte) (ed25519.PrivateKey, error) {
	parsed, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errNotEd25519
	}
	return key, nil
}

// ReadCertificateFile reads the first certificate in a file. Errors name the path.
func ReadCertificateFile(path string) (*x509.Certificate, error) {
	blocks, err := readPEMFile(path)
	if err != nil {
		return nil, err
	}
	for _, block := range blocks {
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return cert, nil
	}
	return nil, fmt.Errorf("%s: %w", path, errNoCertificate)
}

// ReadRevocationListFile reads a file with a revocation list. If there is no such file it returns nil without an error
// where the list is optional. Errors name the path.
func ReadRevocationListFile(path string, optional bool) (*x509.RevocationList, error) {
	blocks, err := readPEMFile(path)
	if optional && errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(blocks) != 1 || blocks[0].Type != pemRevocationList {
		return nil, fmt.Errorf("%s: %w", path, errNotList)
	}
	list, err := x509.ParseRevocationList(blocks[0].Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// readPEMFile returns the PEM blocks of a regular file of up to maxFileBytes.
func readPEMFile(path string) ([]*pem.Block, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: not a file of up to %d bytes", path, maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var blocks []*pem.Block
	for block, rest := pem.Decode(content); block != nil; block, rest = pem.Decode(rest) {
		blocks = append(blocks, block)
	}
	return blocks, nil
}
