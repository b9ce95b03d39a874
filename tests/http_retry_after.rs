//! The `Retry-After` header of responses.

use {
    greengagetrail::http::{RETRY_AFTER_MAX, read_retry_after},
    hyper::{
        HeaderMap,
        header::{HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

fn headers(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_bytes(value).unwrap());
    }
    headers
}

#[test]
fn seconds_with_and_without_a_fraction_are_read() {
    let cases: [(&[&[u8]], Option<u64>); 8] = [
        (&[], None),
        (&[b"0"], Some(0)),
        (&[b"2"], Some(2_000)),
        (&[b" 1.25 "], Some(1_250)),
        (&[b".5"], Some(500)),
        (&[b"1", b"3", b"2"], Some(3_000)),
        (&[b"soon", b"1"], Some(1_000)),
        (&[b"007"], Some(7_000)),
    ];
    for (values, expected_ms) in cases {
        let expected = expected_ms.map(Duration::from_millis);
        assert_eq!(
            read_retry_after(&headers(values)),
            Ok(expected),
            "{values:?}"
        );
    }
}

#[test]
fn huge_waits_are_shortened() {
    let digits = "9".repeat(400);
    for value in [
        "3601",
        "1000000000000",
        "18446744073709551616",
        digits.as_str(),
    ] {
        let read = read_retry_after(&headers(&[value.as_bytes()]));
        assert_eq!(read, Ok(Some(RETRY_AFTER_MAX)), "{value}");
    }
}

#[test]
fn what_is_no_number_of_seconds_is_an_error() {
    let cases: [&[u8]; 12] = [
        b"",
        b"-1",
        b"+1",
        b"1e9",
        b"inf",
        b"NaN",
        b"1.2.3",
        b".",
        b"1s",
        b"1, 2",
        b"Wed, 21 Oct 2026 07:28:00 GMT",
        b"\xff\xfe",
    ];
    for value in cases {
        assert!(read_retry_after(&headers(&[value])).is_err(), "{value:?}");
    }
}

#[test]
fn any_bytes_are_read_without_a_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Ok(value) = HeaderValue::from_bytes(bytes) {
            let mut headers = HeaderMap::new();
            headers.append(RETRY_AFTER, value);
            let read = read_retry_after(&headers);
            assert!(read.is_err() || read.unwrap().is_some_and(|wait| wait <= RETRY_AFTER_MAX));
        }
    });
}
