package site

import (
	"strings"
	"testing"
)

const sample = `
headroom = 0.1
cross = 0.05
[[site]]
name = "a"
capacity = 100.0
[[site]]
name = "b"
capacity = 80.0
[[class]]
name = "sub"
worth = 3.0
[[demand]]
site = "a"
class = "sub"
per_s = 50.0
[[price]]
from = "a"
to = "b"
price = 0.2
`

func TestFilesAreChecked(t *testing.T) {
	_, p, err := ParseFile("s.toml", []byte(sample))
	if err != nil || p.Demand[0][0] != 50 || p.Cross[0][1] != 0.2 || p.Cross[1][0] != 0.05 || p.Cross[0][0] != 0 {
		t.Fatalf("%+v, %v", p, err)
	}
	for _, tt := range []struct{ from, to, want string }{
		{`name = "b"`, `name = "a"`, "s.toml: line 7: site.name"},
		{"capacity = 80.0", "capacity = -1.0", "s.toml: line 7: site.capacity"},
		{"worth = 3.0", "worth = 0.0", "s.toml: line 10: class.worth"},
		{`site = "a"`, `site = "c"`, "s.toml: line 13: demand.site"},
		{`class = "sub"`, `class = "read"`, "s.toml: line 13: demand.class"},
		{"per_s = 50.0", "per_s = -1.0", "s.toml: line 13: demand.per_s"},
		{`to = "b"`, `to = "x"`, "s.toml: line 17: price.from, to"},
		{"price = 0.2", "price = -0.2", "s.toml: line 17: price.price"},
		{"headroom = 0.1", "headroom = 2.0", "s.toml: sites: plan: headroom"},
		{"cross = 0.05", "crass = 0.05", "s.toml: line 3: unknown key crass"},
	} {
		if _, _, err := ParseFile("s.toml", []byte(strings.Replace(sample, tt.from, tt.to, 1))); err == nil || !strings.HasPrefix(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %s", tt.to, err, tt.want)
		}
	}
}
