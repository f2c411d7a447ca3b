package main

import (
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"

	"calicohill/internal/fleet/pki"

	"github.com/spf13/cobra"
)

const day = 24 * time.Hour

func keyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "key", Short: "Make and take back the keys by which schedulers of a fleet know one another",
		Example: "  calicohill key authority gt-registros --out fleet        # fleet.key, to be locked away, and fleet.crt\n" +
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
		Use: "authority FLEET", Short: "Make the key that signs the members of a fleet", Args: exactly("FLEET"),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := pki.NewAuthority(args[0], time.Now(), time.Duration(days)*day)
			if err != nil {
				return err
			}
			if err := pki.WriteFile(out+".key", a.Key, a.Cert); err != nil {
				return err
			}
			if err := os.WriteFile(out+".crt", pki.EncodeCert(a.Cert), 0o644); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s.key signs for fleet %s until %s; name %s.crt as authority\n", out, args[0],
				a.Cert.NotAfter.Format(time.DateOnly), out)
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "fleet", "`NAME` of the files, without .key and .crt")
	cmd.Flags().IntVar(&days, "days", 3650, "how long it is good")
	return cmd
}

func readAuthority(path string) (*pki.Authority, error) {
	if path == "" {
		return nil, usageError{errors.New("--authority is needed")}
	}
	key, cert, err := pki.ReadKey(path)
	if err != nil {
		return nil, err
	}
	if !cert.IsCA {
		return nil, fmt.Errorf("%s is the key of a member, not of an authority", path)
	}
	return &pki.Authority{Cert: cert, Key: key}, nil
}

func issueCommand() *cobra.Command {
	var from, out string
	var days int
	cmd := &cobra.Command{
		Use: "issue NAME", Short: "Make the key and certificate of one scheduler", Args: exactly("NAME"),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := readAuthority(from)
			if err != nil {
				return err
			}
			m, err := a.Issue(args[0], time.Now(), time.Duration(days)*day)
			if err != nil {
				return err
			}
			if out == "" {
				out = args[0] + ".key"
			}
			if err := pki.WriteFile(out, m.Key, m.Cert); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is %s of fleet %s until %s\n", out, args[0], a.Fleet(),
				m.Cert.NotAfter.Format(time.DateOnly))
			return nil
		},
	}
	cmd.Flags().StringVar(&from, "authority", "", "`FILE` with the authority's key")
	cmd.Flags().StringVar(&out, "out", "", "`FILE` to write; NAME.key if not set")
	cmd.Flags().IntVar(&days, "days", 365, "how long it is good")
	return cmd
}

func showCommand() *cobra.Command {
	return &cobra.Command{
		Use: "show FILE", Short: "Print what a file of key says", Args: exactly("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := cmd.OutOrStdout()
			if list, err := pki.ReadList(args[0], false); err == nil {
				fmt.Fprintf(out, "list of revoked certificates, number %v, of %s\n", list.Number, list.ThisUpdate.Format(time.RFC3339))
				for _, e := range list.RevokedCertificateEntries {
					fmt.Fprintf(out, "  %x since %s\n", e.SerialNumber, e.RevocationTime.Format(time.RFC3339))
				}
				return nil
			}
			c, err := pki.ReadCert(args[0])
			if err != nil {
				return err
			}
			kind := "member " + c.Subject.CommonName
			if c.IsCA {
				kind = "authority"
			}
			fmt.Fprintf(out, "%s of fleet %v, number %x, good from %s to %s, %d bytes\n", kind, c.Subject.Organization,
				c.SerialNumber, c.NotBefore.Format(time.RFC3339), c.NotAfter.Format(time.RFC3339), len(c.Raw))
			return nil
		},
	}
}

func revokeCommand() *cobra.Command {
	var from, path string
	cmd := &cobra.Command{
		Use: "revoke FILE|NUMBER...", Short: "Take certificates back: add them to the list of revoked ones",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageError{errors.New("revoke takes the files or the numbers of certificates")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := readAuthority(from)
			if err != nil {
				return err
			}
			before, err := pki.ReadList(path, true)
			if err != nil {
				return err
			}
			if before != nil && before.CheckSignatureFrom(a.Cert) != nil {
				return fmt.Errorf("%s is the list of another authority", path)
			}
			var numbers []*big.Int
			for _, arg := range args {
				n, err := certificateNumber(arg)
				if err != nil {
					return err
				}
				numbers = append(numbers, n)
			}
			list, err := a.Revoke(before, time.Now(), numbers...)
			if err != nil {
				return err
			}
			// A scheduler that reads it meanwhile must see one list or the other.
			if err := os.WriteFile(path+".new", pki.EncodeList(list), 0o644); err != nil {
				return err
			}
			if err := os.Rename(path+".new", path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s holds %d certificates; bring it to all members and send them SIGHUP\n", path,
				len(list.RevokedCertificateEntries))
			return nil
		},
	}
	cmd.Flags().StringVar(&from, "authority", "", "`FILE` with the authority's key")
	cmd.Flags().StringVar(&path, "list", "fleet.revoked", "`FILE` with the list")
	return cmd
}

// certificateNumber is the number of the certificate in a file, or the hexadecimal number itself.
func certificateNumber(arg string) (*big.Int, error) {
	c, err := pki.ReadCert(arg)
	if err == nil {
		return c.SerialNumber, nil
	}
	if n, ok := new(big.Int).SetString(arg, 16); ok && n.Sign() > 0 {
		return n, nil
	}
	return nil, err
}
