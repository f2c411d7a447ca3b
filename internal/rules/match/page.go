package match

import (
	"fmt"
	"strings"
)

// SchemaTable returns the schema as a table in Markdown, as the operators' page has it.
func SchemaTable() string {
	var page strings.Builder
	page.WriteString("| field | type | at most | meaning |\n| --- | --- | --- | --- |\n")
	for _, field := range Schema {
		limit := "-"
		if field.MaxBytes > 0 {
			limit = fmt.Sprintf("%d bytes", field.MaxBytes)
		}
		help := strings.ReplaceAll(field.Help, "|", `\|`)
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s |\n", field.Name, field.Type, limit, help)
	}
	return page.String()
}
