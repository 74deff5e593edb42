package diameter

import (
	_ "embed"
	"fmt"
	"slices"
	"strings"

	"lemonrail/internal/strict"
)

// Result-Codes, RFC 6733 section 7.1 and RFC 8506 section 9.
const (
	Success                = 2001
	LimitedSuccess         = 2002
	CommandUnsupported     = 3001
	UnableToDeliver        = 3002
	RealmNotServed         = 3003
	TooBusy                = 3004
	LoopDetected           = 3005
	ApplicationUnsupported = 3007
	InvalidHeaderBits      = 3008
	InvalidAVPBits         = 3009
	UnknownPeer            = 3010
	AVPUnsupported         = 5001
	UnknownSessionID       = 5002
	InvalidAVPValue        = 5004
	MissingAVP             = 5005
	AVPOccursTooOften      = 5009
	NoCommonApplication    = 5010
	UnsupportedVersion     = 5011
	UnableToComply         = 5012
	InvalidAVPLength       = 5014
	InvalidMessageLength   = 5015
)

// Commands and applications.
const (
	CapabilitiesExchange = 257
	ReAuth               = 258
	AbortSession         = 274
	SessionTermination   = 275
	CreditControl        = 272 // RFC 8506
	DeviceWatchdog       = 280
	DisconnectPeer       = 282
	UserData             = 306 // 3GPP TS 29.329

	AppBase          = 0
	AppCreditControl = 4
	AppSh            = 16777217
	AppRelay         = 0xffffffff

	Vendor3GPP = 10415
)

// AVP codes that the peer state machine and the relay need.
const (
	CodeUserName                  = 1
	CodeProxyState                = 33
	CodeHostIPAddress             = 257
	CodeAuthApplication           = 258
	CodeAcctApplication           = 259
	CodeVendorSpecificApplication = 260
	CodeSessionID                 = 263
	CodeOriginHost                = 264
	CodeSupportedVendor           = 265
	CodeVendorID                  = 266
	CodeFirmware                  = 267
	CodeResultCode                = 268
	CodeProductName               = 269
	CodeDisconnectCause           = 273
	CodeOriginState               = 278
	CodeFailedAVP                 = 279
	CodeErrorMessage              = 281
	CodeRouteRecord               = 282
	CodeDestinationRealm          = 283
	CodeDestinationHost           = 293
	CodeErrorReporting            = 294
	CodeOriginRealm               = 296
	CodeExperimentalResult        = 297
	CodeInbandSecurity            = 299
	CodeCCRequestNumber           = 415
	CodeCCRequestType             = 416
	CodeRequestedAction           = 436

	// RFC 7683
	CodeOCSupportedFeatures = 621
	CodeOCFeatureVector     = 622
	CodeOCOLR               = 623
	CodeOCSequenceNumber    = 624
	CodeOCValidityDuration  = 625
	CodeOCReportType        = 626
	CodeOCReduction         = 627
)

// AVPRule bounds how often an AVP may occur in a message or a group.
type AVPRule struct {
	Name string `toml:"name"` // of the AVP
	Min  int    `toml:"min"`  // minimum number of occurrences
	Max  int    `toml:"max"`  // maximum number of occurrences; 0: unlimited
}

// AVPDef defines an AVP.
type AVPDef struct {
	Name      string            `toml:"name"`
	Code      uint32            `toml:"code"`
	Vendor    uint32            `toml:"vendor"` // 0: no vendor
	Type      Type              `toml:"type"`
	Mandatory bool              `toml:"mandatory"` // the M bit must be set
	Values    map[string]uint32 `toml:"values"`    // the named values of an Enumerated AVP
	Group     []AVPRule         `toml:"group"`     // the members of a Grouped AVP; empty: any
}

// CommandDef defines a command of an application, with the rules for its request and its answer.
type CommandDef struct {
	Name        string    `toml:"name"`
	Code        uint32    `toml:"code"`
	Application uint32    `toml:"application"`
	Proxiable   bool      `toml:"proxiable"` // the P bit must be set, otherwise it must not
	Request     []AVPRule `toml:"request"`
	Answer      []AVPRule `toml:"answer"`
}

// Dictionary holds the known MaxAVPs and commands. It must not be changed after NewDictionary has returned it.
type Dictionary struct {
	Commands []CommandDef `toml:"command"`
	AVPs     []AVPDef     `toml:"avp"`

	byKey     map[key]*AVPDef           // MaxAVPs by code and vendor
	byName    map[string]*AVPDef        // MaxAVPs by name
	byCommand map[[2]uint32]*CommandDef // by application and command code
}

// dictionaryText is the built-in dictionary.
//
//go:embed dictionary.toml
var dictionaryText []byte

// NewDictionary returns the built-in dictionary (base protocol, credit control and Sh), extended by the given
// files.
func NewDictionary(files ...string) (*Dictionary, error) {
	var d Dictionary
	if err := strict.Decode("the built-in dictionary", dictionaryText, &d); err != nil {
		return nil, err
	}
	for _, file := range files {
		var added Dictionary
		if err := strict.DecodeFile(file, &added); err != nil {
			return nil, err
		}
		d.Commands = append(d.Commands, added.Commands...)
		d.AVPs = append(d.AVPs, added.AVPs...)
	}
	return &d, d.index()
}

// index validates the dictionary and builds its lookup maps. A later definition replaces an earlier one.
func (d *Dictionary) index() error {
	d.byKey, d.byName, d.byCommand = map[key]*AVPDef{}, map[string]*AVPDef{}, map[[2]uint32]*CommandDef{}
	for i := range d.AVPs {
		a := &d.AVPs[i]
		if _, known := fixedSizes[a.Type]; a.Name == "" || a.Code == 0 || !known {
			return fmt.Errorf("dictionary: avp %d (%s): the name is empty, the code is 0 or type %q is unknown", i+1, a.Name, a.Type)
		}
		d.byKey[key{a.Code, a.Vendor}], d.byName[a.Name] = a, a
	}
	check := func(where string, rules []AVPRule) error {
		for _, r := range rules {
			if d.byName[r.Name] == nil || r.Min < 0 || r.Max < 0 || r.Max > 0 && r.Min > r.Max {
				return fmt.Errorf("dictionary: %s: rule for %q names an unknown AVP or has invalid bounds (min and max at least 0, min at most max)", where, r.Name)
			}
		}
		return nil
	}
	for i := range d.Commands {
		c := &d.Commands[i]
		if c.Name == "" || c.Code == 0 || c.Code > maxLength {
			return fmt.Errorf("dictionary: command %d (%s): the name is empty or the code is not between 1 and 16777215", i+1, c.Name)
		}
		if err := check(c.Name, append(slices.Clone(c.Request), c.Answer...)); err != nil {
			return err
		}
		d.byCommand[[2]uint32{c.Application, c.Code}] = c
	}
	for i := range d.AVPs {
		if err := check(d.AVPs[i].Name, d.AVPs[i].Group); err != nil {
			return err
		}
	}
	return nil
}

// Command returns the definition of a command of an application, or nil if the dictionary has none.
func (d *Dictionary) Command(application, code uint32) *CommandDef {
	return d.byCommand[[2]uint32{application, code}]
}

// AVP returns the definition of the AVP with a code and vendor, or nil if the dictionary has none.
func (d *Dictionary) AVP(code, vendor uint32) *AVPDef { return d.byKey[key{code, vendor}] }

// Check validates a message against the dictionary: the flags and the data of each AVP, unknown MaxAVPs that
// have the M bit set, missing MaxAVPs and MaxAVPs that occur too often. It returns the first violation as an
// *Error.
func (d *Dictionary) Check(m *Message, limits Limits) error {
	c := d.Command(m.Application, m.Command)
	if c == nil {
		return newError(CommandUnsupported, nil, "command %d of application %d is not known", m.Command, m.Application)
	}
	if m.Flags&FlagProxiable != 0 != c.Proxiable {
		return newError(InvalidHeaderBits, nil, "the P bit of %s", c.Name)
	}
	rules := c.Answer
	if m.Request() {
		rules = c.Request
	} else if m.Flags&FlagError != 0 {
		rules = nil // RFC 6733 section 7.2: answers with a protocol error have the same format for every command
	}
	return d.checkList(m.AVPs, rules, true, limits, 0)
}

// checkList validates the MaxAVPs of a message or a group. MaxAVPs that no rule names are allowed, whatever open is: it
// has no effect.
func (d *Dictionary) checkList(list []AVP, rules []AVPRule, open bool, limits Limits, depth int) error {
	for i := range list {
		a := &list[i]
		def := d.byKey[a.key()]
		if def == nil {
			if a.Flags&AVPMandatory != 0 {
				return newError(AVPUnsupported, a, "AVP %d of vendor %d is not known and mandatory", a.Code, a.Vendor)
			}
			continue
		}
		if a.Flags&avpReserved != 0 || def.Mandatory && a.Flags&AVPMandatory == 0 {
			return newError(InvalidAVPBits, a, "flags %#x of %s", a.Flags, def.Name)
		}
		if err := a.check(def.Type, limits, depth); err != nil {
			return err
		}
		if def.Type == Grouped {
			inner, err := a.Group(limits, depth)
			if err != nil {
				return err
			}
			if len(def.Group) > 0 || len(inner) > 0 {
				if err := d.checkList(inner, def.Group, true, limits, depth+1); err != nil {
					return err
				}
			}
		}
	}
	for _, r := range rules {
		def := d.byName[r.Name]
		n := 0
		var last *AVP
		for i := range list {
			if list[i].key() == (key{def.Code, def.Vendor}) {
				n++
				last = &list[i]
			}
		}
		if n < r.Min {
			return newError(MissingAVP, def.empty(), "%s is missing", def.Name)
		}
		if r.Max > 0 && n > r.Max {
			return newError(AVPOccursTooOften, last, "%s stands there %d times", def.Name, n)
		}
	}
	return nil
}

// empty returns an AVP of this definition with the least data that its type allows. Failed-AVP holds such an
// AVP in place of a missing one: RFC 6733 section 7.5.
func (def *AVPDef) empty() *AVP {
	a := &AVP{Code: def.Code, Vendor: def.Vendor}
	if def.Mandatory {
		a.Flags |= AVPMandatory
	}
	if def.Vendor != 0 {
		a.Flags |= AVPVendor
	}
	if n := fixedSizes[def.Type]; n > 0 {
		a.Data = make([]byte, n)
	}
	return a
}

// Node is an AVP in readable form.
type Node struct {
	Name    string `json:"name"`
	Code    uint32 `json:"code"`
	Vendor  uint32 `json:"vendor,omitempty"`
	Flags   string `json:"flags,omitempty"`   // letters of the flags that are set: V, M, P
	Value   any    `json:"value,omitempty"`   // data of an AVP that has no Group
	Meaning string `json:"meaning,omitempty"` // name of an Enumerated's value
	Group   []Node `json:"group,omitempty"`   // members of a Grouped AVP
}

// Tree is a message in readable form, for text and JSON output.
type Tree struct {
	Command     string `json:"command"`
	Code        uint32 `json:"code"`
	Application uint32 `json:"application"`
	Flags       string `json:"flags"` // letters of the flags that are set: R, P, E, T
	HopByHop    uint32 `json:"hop_by_hop"`
	EndToEnd    uint32 `json:"end_to_end"`
	AVPs        []Node `json:"avps"`
}

// flagNames returns the letters of the flags that are set in v. names holds them from the highest bit on.
func flagNames(v uint8, names string) string {
	var b strings.Builder
	for i := range names {
		if v&(0x80>>i) != 0 {
			b.WriteByte(names[i])
		}
	}
	return b.String()
}

// Tree converts a message into its readable form.
func (d *Dictionary) Tree(m *Message, limits Limits) Tree {
	t := Tree{Command: fmt.Sprintf("Command-%d", m.Command), Code: m.Command, Application: m.Application, Flags: flagNames(m.Flags, "RPET"),
		HopByHop: m.HopByHop, EndToEnd: m.EndToEnd, AVPs: d.nodes(m.AVPs, limits, 0)}
	if c := d.Command(m.Application, m.Command); c != nil {
		t.Command = c.Name + "-Answer"
		if m.Request() {
			t.Command = c.Name + "-Request"
		}
	}
	return t
}

// nodes converts a list of MaxAVPs at a nesting depth into its readable form.
func (d *Dictionary) nodes(list []AVP, limits Limits, depth int) []Node {
	out := []Node{}
	for i := range list {
		a := &list[i]
		n := Node{Name: fmt.Sprintf("AVP-%d", a.Code), Code: a.Code, Vendor: a.Vendor, Flags: flagNames(a.Flags, "VMP")}
		def := d.byKey[a.key()]
		t := OctetString
		if def != nil {
			n.Name, t = def.Name, def.Type
		}
		if t == Grouped {
			if inner, err := a.Group(limits, depth); err == nil {
				n.Group = d.nodes(inner, limits, depth+1)
				out = append(out, n)
				continue
			}
		}
		n.Value = a.value(t)
		if def != nil && t == Enumerated {
			for name, v := range def.Values {
				if v == n.Value {
					n.Meaning = name
				}
			}
		}
		out = append(out, n)
	}
	return out
}

// String formats the tree as text with one AVP per line.
func (t Tree) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%d) application %d flags %s hop-by-hop %#x end-to-end %#x\n", t.Command, t.Code, t.Application, t.Flags, t.HopByHop, t.EndToEnd)
	writeNodes(&b, t.AVPs, "  ")
	return b.String()
}

// writeNodes appends the MaxAVPs to b, one per line, members of groups with a further indent.
func writeNodes(b *strings.Builder, list []Node, indent string) {
	for _, n := range list {
		fmt.Fprintf(b, "%s%s (%d", indent, n.Name, n.Code)
		if n.Vendor != 0 {
			fmt.Fprintf(b, ", vendor %d", n.Vendor)
		}
		fmt.Fprintf(b, ") %s", n.Flags)
		switch {
		case n.Group != nil:
			b.WriteString("\n")
			writeNodes(b, n.Group, indent+"  ")
			continue
		case n.Meaning != "":
			fmt.Fprintf(b, " %v %s", n.Value, n.Meaning)
		default:
			fmt.Fprintf(b, " %v", n.Value)
		}
		b.WriteString("\n")
	}
}
