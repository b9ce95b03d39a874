//! Certificate authorities and TLS files for tests.

use {
    greengagetrail::security::{NODE_NAME, OPERATOR_NAME, TlsFiles},
    rcgen::{
        BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose,
        date_time_ymd,
    },
    std::{fs, path::PathBuf},
};

pub const NODE: &[&str] = &[NODE_NAME];
pub const OPERATOR: &[&str] = &[OPERATOR_NAME];

/// A certificate authority.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pub pem: String,
}

/// A certificate with its key.
pub struct Issued {
    certificate: String,
    key: String,
}

impl Authority {
    pub fn new(name: &str) -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        let pem = params.self_signed(&key).unwrap().pem();
        let issuer = Issuer::new(params, key);
        Self { issuer, pem }
    }

    pub fn issue(&self, names: &[&str]) -> Issued {
        self.issue_until(names, 4000)
    }

    /// Issues a certificate that expires at the start of a year.
    pub fn issue_until(&self, names: &[&str], year: i32) -> Issued {
        let key = KeyPair::generate().unwrap();
        let names: Vec<_> = names.iter().map(|&name| name.to_owned()).collect();
        let mut params = CertificateParams::new(names).unwrap();
        params.not_before = date_time_ymd(2000, 1, 1);
        params.not_after = date_time_ymd(year, 1, 1);
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        Issued {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        }
    }
}

/// A directory with TLS files; removed on drop.
pub struct FilesDir {
    pub path: PathBuf,
    pub files: TlsFiles,
}

impl FilesDir {
    pub fn new(name: &str, issued: &Issued, authorities: &[&Authority]) -> Self {
        let path = std::env::temp_dir().join(format!("ggt-tls-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        let files = TlsFiles {
            certificate_file: path.join("certificate.pem"),
            key_file: path.join("key.pem"),
            authorities_file: path.join("authorities.pem"),
        };
        let dir = Self { path, files };
        dir.replace(issued);
        dir.accept(authorities);
        dir
    }

    pub fn replace(&self, issued: &Issued) {
        fs::write(&self.files.certificate_file, &issued.certificate).unwrap();
        fs::write(&self.files.key_file, &issued.key).unwrap();
    }

    pub fn accept(&self, authorities: &[&Authority]) {
        let all: String = authorities.iter().map(|it| it.pem.as_str()).collect();
        fs::write(&self.files.authorities_file, all).unwrap();
    }
}

impl Drop for FilesDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
