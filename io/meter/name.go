package meter

import "strings"

// The separators of a name with labels.
const (
	labelSeparator = ";"
	valueSeparator = "="
)

// Label tells metrics of one name apart.
type Label struct {
	Key, Value string
}

// Name returns the name of a metric with labels. The values of labels must come
// from small sets, as each combination is a metric of its own.
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

// split takes a name apart.
func split(name string) (base string, labels []Label) {
	parts := strings.Split(name, labelSeparator)
	for _, p := range parts[1:] {
		key, value, _ := strings.Cut(p, valueSeparator)
		labels = append(labels, Label{key, value})
	}
	return parts[0], labels
}
