package match

import (
	"fmt"
	"strings"
)

// Fields is the schema as a table in Markdown.
func Fields() string {
	var b strings.Builder
	b.WriteString("| field | type | at most | meaning |\n| --- | --- | --- | --- |\n")
	for _, f := range Schema {
		most := "-"
		if f.Most > 0 {
			most = fmt.Sprintf("%d bytes", f.Most)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Name, f.Type, most, strings.ReplaceAll(f.Help, "|", `\|`))
	}
	return b.String()
}
