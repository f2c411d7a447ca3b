package operatorfile

import (
	"fmt"
	"slices"
	"strings"
)

// directiveIndent is the indentation of directives in the example.
const directiveIndent = "    "

// Example returns the commented example: every section and directive with its default. Sections that switch something on
// are commented out completely, so that the example as it is changes nothing.
func Example() string {
	var b strings.Builder
	b.WriteString("# The operator's file of calicohill: settings of this installation that are not the platform's.\n" +
		"# Written by `calicohill check --example` from the table of directives. Named by --operator or\n" +
		"# CALICOHILL_OPERATOR; read again on SIGHUP. Every line below shows a default or is commented out.\n" +
		"#\n" +
		"# Sections begin at the margin, directives are indented. '#' begins a comment, \"...\" holds blanks.\n" +
		"# include FILE, at the margin, reads another file in its place. Check a file with `calicohill check FILE`.\n")
	for _, section := range Sections {
		writeExampleSection(&b, section)
	}
	return b.String()
}

func writeExampleSection(b *strings.Builder, section Section) {
	margin := ""
	if hasRequired(section.Name) || section.Named != "" {
		margin = "#"
	}
	fmt.Fprintf(b, "\n%s%s%s\n", comment(section.Help, ""), margin, section.title())
	for _, directive := range directivesOf(section.Name) {
		fmt.Fprintf(b, "\n%s", comment(directive.Help+"\n"+directive.about(), directiveIndent))
		if directive.Default != "" {
			fmt.Fprintf(b, "%s%s%s %s\n", margin, directiveIndent, directive.Name, directive.Default)
		} else {
			line := fmt.Sprintf("#%s%s %s", directiveIndent, directive.Name, directive.Example)
			b.WriteString(strings.TrimRight(line, " ") + "\n")
		}
	}
}

// title returns the heading of a section.
func (s Section) title() string { return strings.TrimSpace(s.Name + " " + s.Named) }

// hasRequired reports whether a section has directives that only the operator can give.
func hasRequired(section string) bool {
	return slices.ContainsFunc(directivesOf(section), func(d Directive) bool { return d.Required })
}

// comment turns a text into comment lines.
func comment(text, indent string) string {
	return indent + "# " + strings.ReplaceAll(text, "\n", "\n"+indent+"# ") + "\n"
}

// about describes the arguments of a directive and when a change of it takes effect.
func (d Directive) about() string {
	var clauses []string
	for _, arg := range d.Args {
		clause := arg.summary()
		if arg.Optional {
			clause += ", or nothing"
		}
		clauses = append(clauses, clause)
	}
	if d.Required {
		clauses = append(clauses, "needed")
	}
	if d.Repeated {
		clauses = append(clauses, "may stand more than once")
	}
	if d.Reload {
		clauses = append(clauses, "taken up on reload")
	} else {
		clauses = append(clauses, "taken up on restart")
	}
	return strings.Join(clauses, "; ") + "."
}

// summary returns an argument's name and what it must be.
func (a Arg) summary() string { return a.Name + ": " + a.describe() }

// Page returns the operators' page of the file in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString("# The operator's file\n\n" +
		"Written by `calicohill check --page` from the table of directives; a test holds it to that. The rules of the\n" +
		"form stand at the top of [deploy/calicohill.conf](../../deploy/calicohill.conf).\n\n" +
		"`calicohill check FILE` reports every fault as `FILE:LINE:COLUMN: directive: reason` and ends with 1 if there\n" +
		"is one. On SIGHUP the file is read again whole; with a fault in it all stays as it was, with a log line for\n" +
		"each fault.\n")
	for _, section := range Sections {
		fmt.Fprintf(&page, "\n## %s\n\n%s\n\n", section.title(), section.Help)
		page.WriteString("| directive | default | reload | meaning |\n| --- | --- | --- | --- |\n")
		for _, directive := range directivesOf(section.Name) {
			page.WriteString(directive.pageRow())
		}
	}
	return page.String()
}

// pageRow returns a directive's row in the table of its section.
func (d Directive) pageRow() string {
	reload := "no"
	if d.Reload {
		reload = "yes"
	}
	defaultValue := "-"
	if d.Default != "" {
		defaultValue = "`" + d.Default + "`"
	} else if d.Required {
		defaultValue = "needed"
	}
	var args []string
	for _, arg := range d.Args {
		args = append(args, arg.summary())
	}
	help := strings.ReplaceAll(d.Help, "\n", " ")
	return fmt.Sprintf("| `%s` | %s | %s | %s %s. |\n", d.usage(), defaultValue, reload, help, strings.Join(args, "; "))
}
