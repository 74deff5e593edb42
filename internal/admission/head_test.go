package admission

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// shortFields returns that many header fields with the shortest names and no value.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against memory that grows with heads of very many short fields: such a head is answered before it is parsed, also
// when it never ends.
func TestHeadOfVeryManyFieldsIsRejected(t *testing.T) {
	s := newTestServer(t, DefaultConfig(0, 0))
	for _, end := range []string{"\r\n", ""} {
		c := s.dial(t)
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+shortFields(maxHeadFields+1)+end)
		if status, _, last, err := c.readAnswer(); status != http.StatusRequestHeaderFieldsTooLarge || !last || err != nil {
			t.Errorf("got %d, last %v, %v", status, last, err)
		}
	}
}

// Guards against memory that grows with the heads of many clients: beyond their share, requests with large heads are refused,
// usual ones are served, and the share is free again when the clients have left.
func TestHeadsBeyondTheirShareAreRefused(t *testing.T) {
	cfg := DefaultConfig(0, 0)
	cfg.MaxHeadBytes = 100 << 10
	s := newTestServer(t, cfg)
	large := "GET / HTTP/1.1\r\nHost: x\r\n" + shortFields(300) // about 65 KiB
	first, second := s.dial(t), s.dial(t)
	io.WriteString(first, large)
	s.waitForCounts(t, "first head", func(c Counts) bool { return c.HeadBytes > 50<<10 })
	io.WriteString(second, large)
	if status, _, last, err := second.readAnswer(); status != http.StatusServiceUnavailable || !last || err != nil {
		t.Errorf("a head beyond the share: got %d, last %v, %v", status, last, err)
	}
	s.dial(t).exchange("usual")
	first.Close()
	s.waitForCounts(t, "release", func(c Counts) bool { return c.HeadBytes == 0 })
	io.WriteString(s.dial(t), large)
	s.waitForCounts(t, "third head", func(c Counts) bool { return c.HeadBytes > 50<<10 })
}

// Line ends in a body, or in requests sent at once, are not counted as fields of a head.
func TestBodiesAreNotCountedAsHeads(t *testing.T) {
	s := newTestServer(t, DefaultConfig(0, 0))
	c := s.dial(t)
	lines := strings.Repeat("\n", 3*maxHeadFields)
	for i := range 3 {
		io.WriteString(c, request(fmt.Sprint("body-", i), lines))
		if status, _, _, err := c.readAnswer(); status != http.StatusOK || err != nil {
			t.Fatalf("request %d: got %d, %v", i, status, err)
		}
	}
	const atOnce = 300
	var all strings.Builder
	for i := range atOnce {
		all.WriteString(request(fmt.Sprint("once-", i), "a\nb"))
	}
	io.WriteString(c, all.String())
	for i := range atOnce {
		if status, _, _, err := c.readAnswer(); status != http.StatusOK || err != nil {
			t.Fatalf("request %d of those sent at once: got %d, %v", i, status, err)
		}
	}
}

// A head costs the same in whatever parts it arrives, and its end is found wherever it is split.
func TestHeadMeterIgnoresParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		head := "\r\nGET / HTTP/1.1\r\n" + shortFields(rapid.IntRange(0, 40).Draw(rt, "fields")) + "\r\n"
		rest := rapid.StringMatching(`[a\r\n]{0,40}`).Draw(rt, "rest")
		var whole, parted headMeter
		whole.add([]byte(head))
		if !whole.ended || whole.bytes != len(head) {
			rt.Fatalf("%+v after a head of %d bytes", whole, len(head))
		}
		for text := head + rest; text != ""; {
			n := rapid.IntRange(1, len(text)).Draw(rt, "part")
			parted.add([]byte(text[:n]))
			text = text[n:]
		}
		if parted != whole {
			rt.Fatalf("in parts %+v, whole %+v", parted, whole)
		}
	})
}
