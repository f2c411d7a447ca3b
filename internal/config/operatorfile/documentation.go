package operatorfile

import (
	"fmt"
	"strings"
)

// Example is the commented example: every section and directive with its default. Sections that switch something
// on are commented out whole, so that the file as it stands changes nothing.
func Example() string {
	var b strings.Builder
	b.WriteString("# The operator's file of calicohill: settings of this installation that are not the platform's.\n" +
		"# Written by `calicohill check --example` from the table of directives. Named by --operator or\n" +
		"# CALICOHILL_OPERATOR; read again on SIGHUP. Every line below shows a default or is commented out.\n" +
		"#\n" +
		"# Sections begin at the margin, directives are indented. '#' begins a comment, \"...\" holds blanks.\n" +
		"# include FILE, at the margin, reads another file in its place. Check a file with `calicohill check FILE`.\n")
	for _, s := range Sections {
		fmt.Fprintf(&b, "\n%s", comment(s.Help, ""))
		margin := ""
		if needsChoice(s.Name) || s.Named != "" {
			margin = "#"
		}
		fmt.Fprintf(&b, "%s%s\n", margin, s.title())
		for _, d := range Directives {
			if d.Section != s.Name {
				continue
			}
			fmt.Fprintf(&b, "\n%s", comment(d.Help+"\n"+d.about(), "    "))
			if d.Default != "" {
				fmt.Fprintf(&b, "%s    %s %s\n", margin, d.Name, d.Default)
			} else {
				b.WriteString(strings.TrimRight(fmt.Sprintf("#    %s %s", d.Name, d.Example), " ") + "\n")
			}
		}
	}
	return b.String()
}

func (s Section) title() string { return strings.TrimSpace(s.Name + " " + s.Named) }

// needsChoice reports whether a section has directives that nobody can choose for the operator.
func needsChoice(section string) bool {
	for _, d := range Directives {
		if d.Section == section && d.Required {
			return true
		}
	}
	return false
}

func comment(text, indent string) string {
	return indent + "# " + strings.ReplaceAll(text, "\n", "\n"+indent+"# ") + "\n"
}

// about says what a directive takes and when a change of it holds.
func (d Directive) about() string {
	var parts []string
	for _, a := range d.Args {
		s := a.Name + ": " + a.describe()
		if a.Optional {
			s += ", or nothing"
		}
		parts = append(parts, s)
	}
	if d.Required {
		parts = append(parts, "needed")
	}
	if d.Repeated {
		parts = append(parts, "may stand more than once")
	}
	if d.Reload {
		parts = append(parts, "taken up on reload")
	} else {
		parts = append(parts, "taken up on restart")
	}
	return strings.Join(parts, "; ") + "."
}

// Page is the operators' page of the file, in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# The operator's file\n\n" +
		"Written by `calicohill check --page` from the table of directives; a test holds it to that. The rules of the\n" +
		"form stand at the top of [deploy/calicohill.conf](../../deploy/calicohill.conf).\n\n" +
		"`calicohill check FILE` reports every fault as `FILE:LINE:COLUMN: directive: reason` and ends with 1 if there\n" +
		"is one. On SIGHUP the file is read again whole; with a fault in it all stays as it was, with a log line for\n" +
		"each fault.\n")
	for _, s := range Sections {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n\n| directive | default | reload | meaning |\n| --- | --- | --- | --- |\n", s.title(), s.Help)
		for _, d := range Directives {
			if d.Section != s.Name {
				continue
			}
			reload := "no"
			if d.Reload {
				reload = "yes"
			}
			value := "-"
			if d.Default != "" {
				value = "`" + d.Default + "`"
			} else if d.Required {
				value = "needed"
			}
			var args []string
			for _, a := range d.Args {
				args = append(args, a.Name+": "+a.describe())
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s %s. |\n", d.usage(), value, reload,
				strings.ReplaceAll(d.Help, "\n", " "), strings.Join(args, "; "))
		}
	}
	return b.String()
}
