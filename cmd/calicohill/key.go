package main

import (
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"os"
	"time"

	"calicohill/internal/fleet/pki"

	"github.com/spf13/cobra"
)

const (
	day = 24 * time.Hour

	keySuffix         = ".key"
	certificateSuffix = ".crt"

	defaultAuthorityDays = 3650
	defaultMemberDays    = 365

	serialNumberBase = 16 // serial numbers on the command line are hexadecimal, as `key show` prints them
)

func keyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "key", Short: "Create, show and revoke the keys with which schedulers of a fleet authenticate each other",
		Example: "  calicohill key authority gt-registros --out fleet        # fleet.key, to be stored offline, and fleet.crt\n" +
			"  calicohill key issue n1 --authority fleet.key --out n1.key\n" +
			"  calicohill key show n1.key\n" +
			"  calicohill key revoke n1.key --authority fleet.key --list fleet.revoked",
		Args: noArguments,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return usageError{errors.New("key takes one of authority, issue, show, revoke; see calicohill key --help")}
		},
	}
	cmd.AddCommand(authorityCommand(), issueCommand(), showCommand(), revokeCommand())
	return cmd
}

func authorityCommand() *cobra.Command {
	var out string
	var days int
	cmd := &cobra.Command{
		Use: "authority FLEET", Short: "Create the key and certificate of the authority that signs the keys of a fleet", Args: exactArguments("FLEET"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return createAuthority(cmd.OutOrStdout(), args[0], out, time.Duration(days)*day)
		},
	}
	cmd.Flags().StringVar(&out, "out", "fleet", "base `NAME` of the two files, NAME.key and NAME.crt")
	cmd.Flags().IntVar(&days, "days", defaultAuthorityDays, "validity in days")
	return cmd
}

// createAuthority creates an authority and writes its key to name.key and its certificate to name.crt.
func createAuthority(out io.Writer, fleet, name string, validity time.Duration) error {
	authority, err := pki.NewAuthority(fleet, time.Now(), validity)
	if err != nil {
		return err
	}
	if err := pki.WriteKeyFile(name+keySuffix, authority.Key, authority.Cert); err != nil {
		return err
	}
	if err := os.WriteFile(name+certificateSuffix, pki.EncodeCertificate(authority.Cert), publicFileMode); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s.key signs for fleet %s until %s; name %s.crt as authority\n", name, fleet,
		authority.Cert.NotAfter.Format(time.DateOnly), name)
	return nil
}

// readAuthority reads the key file of the authority; path is the value of the flag --authority.
func readAuthority(path string) (*pki.Authority, error) {
	if path == "" {
		return nil, usageError{errors.New("--authority is required")}
	}
	key, cert, err := pki.ReadKeyFile(path)
	if err != nil {
		return nil, err
	}
	if !cert.IsCA {
		return nil, fmt.Errorf("%s is a member key, not an authority key", path)
	}
	return &pki.Authority{Cert: cert, Key: key}, nil
}

func issueCommand() *cobra.Command {
	var authorityFile, out string
	var days int
	cmd := &cobra.Command{
		Use: "issue NAME", Short: "Issue the key and certificate of one scheduler", Args: exactArguments("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := args[0]
			if out == "" {
				out = name + keySuffix
			}
			return issueMember(cmd.OutOrStdout(), authorityFile, name, out, time.Duration(days)*day)
		},
	}
	cmd.Flags().StringVar(&authorityFile, "authority", "", "key `FILE` of the authority")
	cmd.Flags().StringVar(&out, "out", "", "`FILE` to write (default NAME.key)")
	cmd.Flags().IntVar(&days, "days", defaultMemberDays, "validity in days")
	return cmd
}

// issueMember issues a key and a certificate for a member and writes both to a file.
func issueMember(out io.Writer, authorityFile, name, file string, validity time.Duration) error {
	authority, err := readAuthority(authorityFile)
	if err != nil {
		return err
	}
	member, err := authority.Issue(name, time.Now(), validity)
	if err != nil {
		return err
	}
	if err := pki.WriteKeyFile(file, member.Key, member.Cert); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s is %s of fleet %s until %s\n", file, name, authority.Fleet(),
		member.Cert.NotAfter.Format(time.DateOnly))
	return nil
}

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show FILE", Short: "Print the certificate in a key file, or a revocation list", Args: exactArguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			if list, err := pki.ReadRevocationListFile(args[0], false); err == nil {
				showRevocationList(out, list)
				return nil
			}
			cert, err := pki.ReadCertificateFile(args[0])
			if err != nil {
				return err
			}
			showCertificate(out, cert)
			return nil
		},
	}
}

func showRevocationList(out io.Writer, list *x509.RevocationList) {
	fmt.Fprintf(out, "list of revoked certificates, number %v, of %s\n", list.Number, list.ThisUpdate.Format(time.RFC3339))
	for _, entry := range list.RevokedCertificateEntries {
		fmt.Fprintf(out, "  %x since %s\n", entry.SerialNumber, entry.RevocationTime.Format(time.RFC3339))
	}
}

func showCertificate(out io.Writer, cert *x509.Certificate) {
	kind := "member " + cert.Subject.CommonName
	if cert.IsCA {
		kind = "authority"
	}
	fmt.Fprintf(out, "%s of fleet %v, number %x, valid from %s to %s, %d bytes\n", kind, cert.Subject.Organization,
		cert.SerialNumber, cert.NotBefore.Format(time.RFC3339), cert.NotAfter.Format(time.RFC3339), len(cert.Raw))
}

func revokeCommand() *cobra.Command {
	var authorityFile, listFile string
	cmd := &cobra.Command{
		Use: "revoke FILE|NUMBER...", Short: "Add certificates to the revocation list",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("key revoke takes certificate files or serial numbers, FILE|NUMBER..., but got no arguments")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			return revoke(cmd.OutOrStdout(), authorityFile, listFile, args)
		},
	}
	cmd.Flags().StringVar(&authorityFile, "authority", "", "key `FILE` of the authority")
	cmd.Flags().StringVar(&listFile, "list", "fleet.revoked", "`FILE` with the revocation list")
	return cmd
}

// revoke adds certificates to the revocation list in a file. It creates the file if it does not exist.
func revoke(out io.Writer, authorityFile, listFile string, certificates []string) error {
	authority, err := readAuthority(authorityFile)
	if err != nil {
		return err
	}
	previous, err := pki.ReadRevocationListFile(listFile, true)
	if err != nil {
		return err
	}
	if previous != nil && previous.CheckSignatureFrom(authority.Cert) != nil {
		return fmt.Errorf("%s is a revocation list signed by another authority", listFile)
	}
	var numbers []*big.Int
	for _, certificate := range certificates {
		number, err := certificateNumber(certificate)
		if err != nil {
			return err
		}
		numbers = append(numbers, number)
	}
	list, err := authority.Revoke(previous, time.Now(), numbers...)
	if err != nil {
		return err
	}
	if err := replaceFile(listFile, pki.EncodeRevocationList(list)); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s holds %d certificates; copy it to all members and send them SIGHUP\n", listFile,
		len(list.RevokedCertificateEntries))
	return nil
}

// certificateNumber returns the serial number of the certificate in the file arg. If arg is not a certificate file, it
// is parsed as a serial number in hexadecimal.
func certificateNumber(arg string) (*big.Int, error) {
	cert, err := pki.ReadCertificateFile(arg)
	if err == nil {
		return cert.SerialNumber, nil
	}
	if number, ok := new(big.Int).SetString(arg, serialNumberBase); ok && number.Sign() > 0 {
		return number, nil
	}
	return nil, err
}
