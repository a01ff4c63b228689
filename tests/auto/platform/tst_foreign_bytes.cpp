#include <functional>

// A macro of Criterion breaks Boost headers that follow it.
#include "scripted_endpoints.h"

#include <criterion/criterion.h>

#include "platform_world.h"

using namespace fulmarpoint;

namespace {

// Size of the parts in which an endpoint sends the same text again and again.
constexpr std::size_t kPartBytes = 1024;
constexpr char kErrorPage[] = "<html><head>FOREIGN</head>\r\n<body>lost</body></html>\r\n\r\n";

/// Returns bytes that no event stream holds. An endpoint in trouble sends them again and again.
std::vector<std::string> ForeignTexts() {
  return {
      kErrorPage,
      "HTTP/1.1 502 FOREIGN\r\nContent-Length: 0\r\n\r\n",
      "Server: FOREIGN\r\nContent-Length: 0\r\n\r\n",
      "{\"error\": \"FOREIGN\"}\n\n",
      "FOREIGN\n\n",
      "FOREIGN: reset by peer\n\n",
      "2026-12-08 00:00:01 ERROR FOREIGN: reset by peer\n\n",
      ": FOREIGN\n\n",
      "data: FOREIGN\n\n",
      "event: FOREIGN\ndata: 1\n\n",
      "\n\ndata: FOREIGN\n\n",
      "\r\n\r\nFOREIGN\r\n\r\n",
      "id: 99999999999999999999999\ndata: FOREIGN\n\n",
      "id: 7\ndata: FOREIGN\n\n",
      "id: 3\ndata: FOREIGN\n\n",
      "id: 3x\ndata: FOREIGN\n\n",
      "id: -3\ndata: FOREIGN\n\n",
      "id: 3.0\ndata: FOREIGN\n\n",
      "id: 0x3\ndata: FOREIGN\n\n",
      "id:\ndata: FOREIGN\n\n",
      "id\ndata: FOREIGN\n\n",
      "5\r\nFOREIGN\r\n\r\n",
      "0\r\n\r\nFOREIGN\r\n\r\n",
      "FOREIGN" + std::string("\0\xff\xfe\n\n\x80\n\n", 8),
  };
}

/// Framings of a stream.
struct StreamFraming {
  const char* name;
  std::string headers;
  bool is_chunked = false;
};

std::vector<StreamFraming> Framings() {
  return {{"closed at the end", ""},
          {"chunks", kChunked, true},
          {"length", "Content-Length: 10000000\r\n"}};
}

/// Returns a stream with `events` events, then `begin`, then `repeated` until the daemon closes.
Answer EndlessStream(const StreamFraming& framing, int events, const std::string& begin,
                     const std::string& repeated) {
  const auto frame = [&framing](const std::string& data) {
    return framing.is_chunked && !data.empty() ? InChunk(data) : data;
  };
  return {std::string(framing.name) + ", after " + std::to_string(events) + ": " + begin + repeated,
          Head("200 OK", kEventStream + framing.headers),
          events,
          frame(begin),
          Ending::kClose,
          frame(repeated)};
}

/// Expects the beginning of a stream without other bytes, or a failure, that does not look whole.
void CheckNotWhole(const Received& received, const std::string& name) {
  cr_expect_eq(received.bytes.find(kForeign), std::string::npos, "%s: %s", name.c_str(),
               received.bytes.c_str());
  if (received.status != 200) return;
  const std::string whole = AllEvents(1, kWholeStreamEvents);
  cr_expect_not(received.is_whole && received.body != whole, "%s: taken for whole", name.c_str());
  cr_expect_eq(whole.find(received.body), 0u, "%s: %s", name.c_str(), received.bytes.c_str());
}

std::string Repeated(const std::string& text) {
  std::string part;
  while (part.size() < kPartBytes) part += text;
  return part;
}

void ForEachFaultyStream(const std::function<void(const Answer&)>& check) {
  for (const StreamFraming& framing : Framings()) {
    for (const std::string& text : ForeignTexts()) {
      for (const int events : {0, 2, kWholeStreamEvents}) {
        check(EndlessStream(framing, events, "", Repeated(text)));
      }
    }
  }
}

/// A stream of a sound endpoint.
struct SoundStream {
  const char* name;
  std::string body;
};

std::vector<SoundStream> SoundStreams() {
  std::string crlf;
  std::string cr;
  std::string from_zero;
  for (int event = 1; event <= 3; ++event) {
    const std::string number = std::to_string(event);
    crlf += "id: " + number + "\r\ndata: x\r\n\r\n";
    cr += "id: " + number + "\rdata: x\r\r";
    from_zero += "id: " + std::to_string(event - 1) + "\ndata: x\n\n";
  }
  const std::string last = "id: 2\ndata: y\n\n";
  return {
      {"CRLF", crlf},
      {"CR", cr},
      {"line ends of all kinds", "id: 1\r\ndata: x\n\rid: 2\rdata: y\n\nid: 3\ndata: z\r\n\r\n"},
      {"numbers from 0", from_zero},
      {"no blanks", "id:1\ndata:x\n\nid:2\ndata:\n\n"},
      {"all fields", "event: token\nid: 1\nretry: 3000\ndata: x\ndata\ndata: y\n\n" + last},
      {"another field", "fulmarpoint-weight-versions: 7\nid: 1\ndata: x\n\n" + last},
      {"comments", ": a\n\n:\n\nid: 1\n: b\ndata: x\n\n: c\n\n: d\n\n" + last + ": e\n\n"},
      {"more empty lines", "\n\nid: 1\ndata: x\n\n\n\n" + last + "\n"},
      {"an event without a number at the end", "id: 1\ndata: x\n\ndata: [DONE]\n\n"},
      {"only events without a number", "data: x\n\ndata: [DONE]\n\n"},
      {"an event without data", "id: 1\ndata: x\n\nid: 2\nevent: end\n\n"},
      {"a byte-order mark", "\xEF\xBB\xBFid: 1\ndata: x\n\n" + last},
      {"text in UTF-8", "id: 1\ndata: \xC3\xA9\xE2\x82\xAC\xF0\x9F\x8C\xB0\n\n" + last},
      {"bytes that are no UTF-8", "id: 1\ndata: \xF0\x9F\n\nid: 2\ndata: \x8C\xB0\n\n"},
      {"control characters", "id: 1\ndata: \t\x1B[1m\x7F\n\n" + last},
      {"data like a page", "id: 1\ndata: <html>502: Bad Gateway</html>\n\n" + last},
  };
}

/// Returns the body in chunks of one byte, with extensions and a trailer field.
std::string InSmallChunks(const std::string& body) {
  std::string chunks;
  for (const char c : body) chunks += "1;name=value\r\n" + std::string(1, c) + "\r\n";
  return chunks + "0\r\nName: value\r\n\r\n";
}

std::vector<Answer> FramedIn(const std::string& body) {
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return {
      {"closed at the end", Head("200 OK", kEventStream) + body},
      {"length", Head("200 OK", kEventStream + length) + body},
      {"chunks", Head("200 OK", std::string(kEventStream) + kChunked) + InSmallChunks(body)},
  };
}

}  // namespace

// Guards against bytes of an endpoint in trouble inside a stream that goes on at another endpoint
// and looks whole (review/11).
Test(foreign_bytes, in_a_stream_that_goes_on_elsewhere) {
  ForEachFaultyStream([](const Answer& faulty) {
    CheckWholeStream(Play({}, {faulty, GoodStream()}), faulty.name);
  });
}

// Guards against bytes of an endpoint in trouble in a stream that ends for lack of another
// endpoint.
Test(foreign_bytes, in_a_stream_that_breaks_off) {
  for (const std::string& text : ForeignTexts()) {
    const Answer faulty = EndlessStream(Framings().front(), 2, "", Repeated(text));
    CheckNotWhole(Play({"/stream/x", "HTTP/1.1", kShortDeadline}, {faulty}), faulty.name);
    CheckNotWhole(Play({"/stream/once/x", "HTTP/1.0", kShortDeadline}, {faulty}), faulty.name);
  }
}

// Guards against a numbered event that was cut and ends in bytes of something else.
Test(foreign_bytes, within_an_event) {
  for (const StreamFraming& framing : Framings()) {
    for (const char* cut : {"i", "id: 3", "id: 3\n", "id: 3\nda", "id: 3\ndata: e"}) {
      for (const char* text :
           {kErrorPage, "FOREIGN\r\n\r\n", "FOREIGN\xff\n\n\x80\n\n", "\r\n\r\nFOREIGN\n\n"}) {
        const Answer faulty = EndlessStream(framing, 2, cut, text);
        CheckWholeStream(Play({}, {faulty, GoodStream()}), faulty.name);
      }
    }
  }
}

// Guards against a stream that ends as complete with the error page of a broken process.
Test(foreign_bytes, before_the_end_of_the_connection) {
  for (const std::string& text : {std::string(kErrorPage), std::string("FOREIGN: lost\n\n")}) {
    const Answer faulty = {text, Head("200 OK", kEventStream), 2, text, Ending::kClose};
    CheckWholeStream(Play({}, {faulty, GoodStream()}), faulty.name);
  }
}

// Guards against a cut body, or one with raw bytes between its chunks, that the caller of a call
// receives.
Test(foreign_bytes, in_the_body_of_a_call) {
  const std::string chunk = InChunk("a whole ");
  for (const std::string& text : ForeignTexts()) {
    // The last chunk ends the body, so that what follows belongs to no reply.
    if (text.starts_with("0\r\n\r\n")) continue;
    for (const Answer& faulty : {Answer{"chunks: " + text, Head("200 OK", kChunked), 0, chunk,
                                        Ending::kClose, Repeated(text)},
                                 Answer{"length: " + text, Head("200 OK", "Content-Length: 12\r\n"),
                                        0, "a wh", Ending::kReset}}) {
      const Received received = Play({"/place/x", "HTTP/1.1", kLongDeadline}, {faulty});
      cr_expect_eq(received.status, 502, "%s: %s", faulty.name.c_str(), received.bytes.c_str());
    }
  }
}

// Guards against streams of sound endpoints that are altered, cut or given up because of the checks
// for foreign bytes.
Test(foreign_bytes, streams_of_sound_endpoints_come_through_whole) {
  for (const SoundStream& stream : SoundStreams()) {
    for (const Answer& answer : FramedIn(stream.body)) {
      int requests = 0;
      const Received received = Play({}, {answer}, &requests);
      cr_expect_eq(received.status, 200, "%s, %s", stream.name, answer.name.c_str());
      cr_expect(received.is_whole, "%s, %s: not whole", stream.name, answer.name.c_str());
      cr_expect(received.body == stream.body, "%s, %s: %s", stream.name, answer.name.c_str(),
                received.bytes.c_str());
      cr_expect_eq(requests, 1, "%s, %s: %d requests", stream.name, answer.name.c_str(), requests);
    }
  }
}

// Guards against a byte-order mark in the middle of a stream that goes on at another endpoint.
Test(foreign_bytes, a_byte_order_mark_of_the_next_endpoint_is_left_out) {
  const std::string head = Head("200 OK", kEventStream);
  const Answer cut = {"cut", head, 2, "id: 3\nda", Ending::kClose};
  const Answer next = {"next", head + "\xEF\xBB\xBF", kWholeStreamEvents, "", Ending::kClose};
  CheckWholeStream(Play({}, {cut, next}), "byte-order mark");
}

// Guards against a stream that is given up, or loses an event, because an event is repeated.
Test(foreign_bytes, a_repeated_event_is_left_out) {
  const std::string first = "id: 1\ndata: x\n\n";
  const std::string last = "id: 2\ndata: y\n\n";
  const std::string head = Head("200 OK", kEventStream);
  const Received received = Play({}, {{"repeated", head + first + first + last + last}});
  cr_assert(received.is_whole && received.body == first + last, "%s", received.bytes.c_str());
}

// Guards against a stream whose first event is foreign and numbered like a later one, or lost: all
// events before it would be missing.
Test(foreign_bytes, a_stream_begins_with_its_first_event) {
  const std::string head = Head("200 OK", kEventStream);
  for (const char* number : {"2", "7", "18446744073709551615"}) {
    const Answer faulty = {number, head + "id: " + number + "\ndata: FOREIGN\n\n"};
    CheckWholeStream(Play({}, {faulty, GoodStream()}), faulty.name);
  }
}

// Guards against a stream that is taken for a plain reply, which is passed on late and unchecked,
// because of how its media type is written.
Test(foreign_bytes, in_a_stream_whose_media_type_is_written_otherwise) {
  for (const char* type : {"Text/Event-Stream", "text/event-stream;charset=utf-8",
                           "TEXT/EVENT-STREAM ; charset=UTF-8"}) {
    const std::string head = Head("200 OK", "Content-Type: " + std::string(type) + "\r\n");
    const Answer faulty = {type, head, 2, kErrorPage};
    CheckWholeStream(Play({}, {faulty, GoodStream()}), faulty.name);
  }
}
