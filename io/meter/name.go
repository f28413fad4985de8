package meter

import "strings"

// Separators of the labels in a metric name: base;key=value;key=value.
const (
	labelSeparator = ";"
	valueSeparator = "="
)

// Label distinguishes metrics with the same base name.
type Label struct {
	Key, Value string
}

// Name returns the name of a metric with labels. Label values must come from small sets, because
// each combination of values is a separate metric. Semicolons in values become underscores.
func Name(base string, labels ...Label) string {
	var b strings.Builder
	b.WriteString(base)
	for _, l := range labels {
		b.WriteString(labelSeparator)
		b.WriteString(l.Key)
		b.WriteString(valueSeparator)
		b.WriteString(strings.ReplaceAll(l.Value, labelSeparator, "_"))
	}
	return b.String()
}

// parseName splits a name made by Name into its base and its labels.
func parseName(name string) (base string, labels []Label) {
	parts := strings.Split(name, labelSeparator)
	for _, p := range parts[1:] {
		key, value, _ := strings.Cut(p, valueSeparator)
		labels = append(labels, Label{key, value})
	}
	return parts[0], labels
}
