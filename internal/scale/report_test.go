package scale

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestReportShowsSlopesWithTheirRange(t *testing.T) {
	t.Parallel()
	set := newSeriesSet(Hollow, "agents", "450 listed backends")
	set.add("bytes an agent", "B", 100, 10)
	set.add("bytes an agent", "B", 450, 45)
	set.add("only once", "B", 100, 10)
	r := NewReport("lemonctl scale hollow", "abcdef0", 3)
	var err error
	if r.Series, err = set.fit(); err != nil {
		t.Fatal(err)
	}
	var text, page strings.Builder
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if err := r.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"seed 3", "commit abcdef0", "bytes an agent", "0.1 B each, 100 to 450", "450 listed backends"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("text lacks %q:\n%s", want, &text)
		}
	}
	if n := strings.Count(page.String(), "<svg"); n != 1 {
		t.Errorf("%d plots", n)
	}
	raw, err := json.Marshal(r)
	if err != nil || !strings.Contains(string(raw), `"per_unit":0.1`) || !strings.Contains(string(raw), `"slope":null`) {
		t.Errorf("%s, %v", raw, err)
	}
}
