package admin

import "testing"

// Guards against an organisation whose name looks like a hash being merged with another one.
func TestLabelsOfOrganisations(t *testing.T) {
	hash := OrganisationHash("bakery")
	if got, ok := HashOfLabel(OrganisationLabel(hash)); !ok || got != hash {
		t.Errorf("%x, %v; want %x", got, ok, hash)
	}
	if got, ok := HashOfLabel(OrganisationLabel(0)); !ok || got != 0 {
		t.Errorf("%x, %v; want 0", got, ok)
	}
	for _, name := range []string{"", "bakery", "deadbeef", "#", "#bakery", "#123456789"} {
		if hash, ok := HashOfLabel(name); ok {
			t.Errorf("%q is taken for the hash %x", name, hash)
		}
	}
}
