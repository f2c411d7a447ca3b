package match

import (
	"fmt"
	"strings"
)

// Fields returns the schema as a table in Markdown, as the operators' page has it.
func Fields() string {
	var page strings.Builder
	page.WriteString("| field | type | at most | meaning |\n| --- | --- | --- | --- |\n")
	for _, field := range Schema {
		limit := "-"
		if field.Most > 0 {
			limit = fmt.Sprintf("%d bytes", field.Most)
		}
		help := strings.ReplaceAll(field.Help, "|", `\|`)
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", field.Name, field.Type, limit, help)
	}
	return page.String()
}
